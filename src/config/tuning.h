#pragma once
#include <string>

/// The operators' settings, an HCL file that libconfuse reads. Durations and amounts are ratios to
/// values of the platform, so that one file suits deployments of any size.
namespace sumacquay {

/// Tuning parameters. The field names are those in the file.
struct Tuning {
  double leader_lease = 0.2;  ///< leader lease, as a fraction of the worker lease
  double renew = 0.3;         ///< renewal interval, as a fraction of the leader lease
  double grace = 1.0;         ///< Settings::answer_grace_s, as a fraction of its safe maximum
  double round = 0.1;         ///< interval of placement rounds, in heartbeat periods
  double suspect = 0.45;      ///< time without heartbeats after which a machine is
                              ///< suspected to have failed, as a fraction of the worker lease
  double idle = 0.4;          ///< idle time before a machine is released, in boot times of its type
  double rent = 0.05;         ///< limit of machines per scale-out, as a fraction of the machines
                              ///< that are up; a fixed minimum applies
  double headroom = 1.0;      ///< spare capacity, as a multiple of the need of expected arrivals
  double sockets = 0.7;       ///< limit of sockets for users and workers, as a fraction of all
  /// Whether record writes and worker commands are sent as soon as their preconditions are met
  /// instead of in the next tick. Intended for large fleets, whose ticks take long.
  bool prompt_dispatch = false;
  int start_tries = 3;  ///< number of machines on which a job fails before it backs off; below 3
                        ///< it has the effect of 3
};

/// Parses and validates the operators' settings; throws SettingsError. An unknown field is an
/// error: only operators write this file, so it must be a mistake. `source` is the file name for
/// error messages.
Tuning parse_tuning(const std::string& hcl_text, const std::string& source);
/// Reads the file and parses it; throws SettingsError, also if the file can't be read.
Tuning load_tuning(const std::string& path);

}  // namespace sumacquay
