#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/settings_error.h"
#include "config/tuning.h"

/// A node's settings: the platform's TOML file, and the operators' own (tuning.h). They are read
/// once at the start and constant from then on. Names ending in _s are seconds, in _rps requests a
/// second.
namespace sumacquay {

/// The address that something listens on.
struct Endpoint {
  std::string host;
  unsigned short port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

/// Another node of the control plane.
struct PeerSettings {
  std::string node;
  std::string zone;
  Endpoint addr;
};

/// A team's fair share and its quota, on what its jobs take together.
struct TeamSettings {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  ///< 0: none
};

/// What the platform is to achieve for a class of jobs.
struct ServiceLevelObjective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

/// All settings of a node. Fields that the platform's file has to set have defaults for tests
/// alone.
struct Settings {
  std::string node;
  std::string zone;
  Endpoint listen;
  Endpoint peer_listen;
  std::vector<PeerSettings> peers;
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<TeamSettings> teams;
  std::vector<ServiceLevelObjective> objectives;
  double heartbeat_period_s = 1, lease_s = 10, gang_wait_s = 30, gang_peer_s = 5, cancel_s = 40;
  /// Limits of the key-value store: requests and mutations a second, KiB of a value in JSON form,
  /// and mutations of a transaction. Where the platform announces others to come, each is the
  /// stricter of the two: the store may change over at any moment.
  double state_rps = 100, state_write_rps = 30, state_value_kb = 8;
  int state_txn_ops = 24;
  double cloud_rps = 3, list_lag_s = 8;
  double max_sockets = 600;
  Tuning tuning;

  /// The most preconditions that a transaction may have.
  size_t max_preconditions() const {
    constexpr size_t kPreconditionsPerMutation = 4;
    return kPreconditionsPerMutation * static_cast<size_t>(state_txn_ops);
  }
  /// The most bytes of a value in JSON form.
  size_t state_value_bytes() const { return static_cast<size_t>(state_value_kb * 1024); }

  /// Null if there is no such team.
  const TeamSettings* team(const std::string& name) const;
  /// For how long after the last answer of the key-value store workers may be answered. A job may
  /// have been cancelled since, and an answer keeps its tasks alive for another lease of the
  /// worker: both together stay within the time that a cancellation may take.
  double answers_s() const;
  /// The leader's lease, and the pause between its renewals, which is also the one between
  /// peer heartbeats.
  double leader_lease_s() const { return tuning.leader_lease * lease_s; }
  double renew_s() const { return tuning.renew * leader_lease_s(); }
  /// Whether a worker of a partitioned zone reaches a node of its zone before its lease expires,
  /// after it has waited for every node elsewhere. If not, delegated responders keep nothing alive,
  /// and the leader would only wait for them.
  bool finds_delegated_responder(const std::string& of_zone) const;
  /// How long a node waits for the leader's next heartbeat before it answers workers in its place.
  double delegation_after_s() const { return 2.5 * renew_s(); }
};

/// Reads and checks the platform's file; throws SettingsError. Unknown fields are ignored. `source`
/// names the file in errors.
Settings parse_settings(const std::string& toml_text, const std::string& source);
/// The same from a file, which has to be readable.
Settings load_settings(const std::string& path);

}  // namespace sumacquay
