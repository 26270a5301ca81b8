#pragma once
#include <string>

/// Operators' own settings, an HCL file that libconfuse reads. Each is a ratio to a figure of the
/// platform, so one file suits deployments of any size.
namespace sumacquay {

/// What operators may tune. The names are those in the file.
struct Tuning {
  double leader_lease = 0.2;  ///< leader lease / worker lease
  double renew = 0.3;         ///< renewal period / leader lease
  double grace = 1.0;         ///< time that workers are answered / the most Settings::answers_s
  double round = 0.1;         ///< placement round / heartbeat period
  double suspect = 0.45;      ///< silence that makes a machine suspected / worker lease
  double idle = 0.4;          ///< idle time before a machine is scaled in / its boot time
  double rent = 0.05;         ///< machines of one scale-out / machines up; a few in any case
  double headroom = 1.0;      ///< spare capacity / capacity that expected arrivals need
  double sockets = 0.7;       ///< sockets open to users and workers / all sockets
  /// Whether record writes and worker commands go out as soon as what they wait for is there,
  /// instead of with the next tick: for large fleets, whose ticks are long.
  bool prompt_dispatch = false;
  int start_tries = 3;  ///< machines on which a job fails before it backs off, 3 at least
};

/// Reads and checks the operators' file; throws SettingsError. An unknown field is an error, since
/// nobody else writes it. `source` names the file in errors.
Tuning parse_tuning(const std::string& hcl_text, const std::string& source);
/// The same from a file, which has to be readable.
Tuning load_tuning(const std::string& path);

}  // namespace sumacquay
