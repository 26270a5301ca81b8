#pragma once
#include <string>

/// Operators' own settings, an HCL file that libconfuse reads. Each is a ratio to a figure of the
/// platform, so one file suits deployments of any size.
namespace sumacquay {

struct Tuning {
  double leader_lease = 0.2;  ///< leader lease / worker lease
  double renew = 0.3;         ///< renewal period / leader lease
  double grace = 1.0;         ///< answers past the last word / Settings::answers_s at its most
  double round = 0.1;         ///< placement round / heartbeat period
  double suspect = 0.45;      ///< silence that makes a machine suspect / worker lease
  double idle = 0.4;          ///< idle time before a machine is returned / its boot time
  double rent = 0.05;         ///< machines rented at once / machines up; a few in any case
  double headroom = 1.0;      ///< spare room / room that expected arrivals need
  double sockets = 0.7;       ///< sockets open to users and workers / all sockets
  /// Whether writes and orders go out as soon as what they wait for is there, instead of with the
  /// next tick: for large fleets, whose ticks are long.
  bool prompt_dispatch = false;
  int start_tries = 3;  ///< machines on which a job fails before it backs off, 3 at least
};

/// Reads and checks the operators' file; throws SettingsError. An unknown field is an error, since
/// nobody else writes it. `source` names the file in errors.
Tuning parse_tuning(const std::string& hcl_text, const std::string& source);
Tuning load_tuning(const std::string& path);

}  // namespace sumacquay
