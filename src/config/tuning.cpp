#include "config/tuning.h"

#include "config/number_file.h"

namespace sumacquay {

Tuning parse_tuning(const std::string& hcl_text, const std::string& source) {
  Tuning tuning;
  double start_tries = tuning.start_tries;
  double prompt_dispatch = tuning.prompt_dispatch ? 1 : 0;
  read_numbers(hcl_text, source,
               {{"leader_lease", &tuning.leader_lease, {0.05, 0.5}},
                {"renew", &tuning.renew, {0.05, 0.5}},
                {"grace", &tuning.grace, {0, 1}},
                {"round", &tuning.round, {0.01, 2}},
                {"suspect", &tuning.suspect, {0.1, 1}},
                {"idle", &tuning.idle, {0, 100}},
                {"rent", &tuning.rent, {0, 1}},
                {"headroom", &tuning.headroom, {0, 100}},
                {"sockets", &tuning.sockets, {0.1, 0.7}},
                {"prompt_dispatch", &prompt_dispatch, {0, 1}, true},
                {"start_tries", &start_tries, {1, 1000}, true}});
  tuning.start_tries = static_cast<int>(start_tries);
  tuning.prompt_dispatch = prompt_dispatch > 0;
  return tuning;
}

Tuning load_tuning(const std::string& path) {
  return parse_tuning(read_settings_file(path), path);
}

}  // namespace sumacquay
