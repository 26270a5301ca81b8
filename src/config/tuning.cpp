#include "config/tuning.h"

#include <confuse.h>

#include <array>
#include <cstdarg>
#include <cstdio>
#include <memory>
#include <vector>

#include "config/settings_error.h"

namespace sumacquay {
namespace {

struct Ratio {
  const char* name;
  double Tuning::*field;
  SettingRange range;
};

constexpr std::array kRatios{Ratio{"leader_lease", &Tuning::leader_lease, {0.05, 0.5}},
                             Ratio{"renew", &Tuning::renew, {0.05, 0.5}},
                             Ratio{"grace", &Tuning::grace, {0, 1}},
                             Ratio{"round", &Tuning::round, {0.01, 2}},
                             Ratio{"suspect", &Tuning::suspect, {0.1, 1}},
                             Ratio{"idle", &Tuning::idle, {0, 100}},
                             Ratio{"headroom", &Tuning::headroom, {0, 100}},
                             Ratio{"sockets", &Tuning::sockets, {0.1, 0.7}}};
constexpr const char* kStartTries = "start_tries";
constexpr SettingRange kStartTriesRange{1, 1000};

using Parser = std::unique_ptr<cfg_t, decltype(&cfg_free)>;

/// libconfuse hands its complaint to a callback without a place for data of ours.
std::string& parser_complaint() {
  static std::string text;
  return text;
}

void take_complaint(cfg_t* parser, const char* format, va_list arguments) {
  std::array<char, 300> text{};
  vsnprintf(text.data(), text.size(), format, arguments);
  const int line = parser ? parser->line : 0;
  parser_complaint() = "line " + std::to_string(line) + ": " + text.data();
}

/// The fields of the file, with the defaults of those that it leaves out.
std::vector<cfg_opt_t> known_fields(const Tuning& defaults) {
  constexpr size_t kOthers = 2;  // the count of tries, and the end of the list
  std::vector<cfg_opt_t> fields;
  fields.reserve(std::size(kRatios) + kOthers);
  for (const auto& ratio : kRatios)
    fields.push_back(CFG_FLOAT(ratio.name, defaults.*ratio.field, CFGF_NONE));
  fields.push_back(CFG_INT(kStartTries, defaults.start_tries, CFGF_NONE));
  fields.push_back(CFG_END());
  return fields;
}

void parse_into(const Parser& parser, const std::string& hcl_text, const std::string& source) {
  parser_complaint() = "not a list of settings";
  cfg_set_error_function(parser.get(), take_complaint);
  if (cfg_parse_buf(parser.get(), hcl_text.c_str()) == CFG_SUCCESS) return;
  throw SettingsError(source + ": " + parser_complaint());
}

}  // namespace

Tuning parse_tuning(const std::string& hcl_text, const std::string& source) {
  Tuning tuning;
  std::vector<cfg_opt_t> fields = known_fields(tuning);
  const Parser parser(cfg_init(fields.data(), CFGF_NONE), cfg_free);
  if (!parser) throw SettingsError(source + ": can't be read");
  parse_into(parser, hcl_text, source);
  for (const auto& ratio : kRatios) {
    const double value = cfg_getfloat(parser.get(), ratio.name);
    check_range(source, ratio.name, value, ratio.range);
    tuning.*ratio.field = value;
  }
  const long start_tries = cfg_getint(parser.get(), kStartTries);
  check_range(source, kStartTries, static_cast<double>(start_tries), kStartTriesRange);
  tuning.start_tries = static_cast<int>(start_tries);
  return tuning;
}

Tuning load_tuning(const std::string& path) {
  return parse_tuning(read_settings_file(path), path);
}

}  // namespace sumacquay
