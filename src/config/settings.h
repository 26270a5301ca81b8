#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/settings_error.h"
#include "config/tuning.h"

/// A node's settings: the platform's TOML file and the operators' tuning file (tuning.h). They are
/// read once at startup and do not change afterwards. Names ending in _s are in seconds, those in
/// _rps in requests per second.
namespace sumacquay {

/// A network address: host and port.
struct Endpoint {
  std::string host;
  unsigned short port = 0;
  std::string to_string() const { return host + ":" + std::to_string(port); }
};

/// Another controller node.
struct PeerSettings {
  std::string node;
  std::string zone;
  Endpoint addr;
};

/// A team's fair share (cpus, gpus) and quota (cpus_max, gpus_max) of the resources that its jobs
/// use in total.
struct TeamSettings {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  ///< 0: no share, no quota
};

/// A service level objective (SLO) of the platform for a class of jobs.
struct ServiceLevelObjective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

/// All settings of a node. Defaults of fields that are required in the platform's file are used
/// only by tests.
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
  /// Limits of the key-value store: requests and mutations per second, KiB of a value in JSON form,
  /// and mutations per transaction. If the platform announces upcoming limits, each is the lower of
  /// the current and the upcoming one, since the store may switch at any time.
  double state_rps = 100, state_write_rps = 30, state_value_kb = 8;
  int state_txn_ops = 24;
  double cloud_rps = 3, list_lag_s = 8;
  double max_sockets = 600;
  Tuning tuning;

  /// The maximum number of preconditions in a transaction.
  size_t max_preconditions() const {
    constexpr size_t kPreconditionsPerMutation = 4;
    return kPreconditionsPerMutation * static_cast<size_t>(state_txn_ops);
  }
  /// The maximum size of a value in JSON form, in bytes.
  size_t state_value_bytes() const { return static_cast<size_t>(state_value_kb * 1024); }

  /// Returns null if there is no such team.
  const TeamSettings* team(const std::string& name) const;
  /// The time after the last response of the key-value store during which this node may respond to
  /// workers. A job may have been cancelled since, and a response renews the worker's lease and so
  /// keeps the job's tasks running: the grace period and one worker lease together must not exceed
  /// the time that a cancellation may take.
  double answer_grace_s() const;
  /// The duration of the leader's lease, and the interval between its renewals, which is also the
  /// interval between peer heartbeats.
  double leader_lease_s() const { return tuning.leader_lease * lease_s; }
  double leader_renewal_interval_s() const { return tuning.renew * leader_lease_s(); }
  /// Whether a worker in a partitioned zone reaches a node of its own zone before its lease
  /// expires, even if it tries all nodes of other zones first and each attempt times out. If not,
  /// lease delegation can't keep the zone's tasks running and would only delay the leader.
  bool delegate_reachable_within_lease(const std::string& of_zone) const;
  /// The time without a heartbeat from the leader after which a delegate responds to workers in the
  /// leader's place.
  double delegate_takeover_s() const { return 2.5 * leader_renewal_interval_s(); }
};

/// Parses and validates the platform's settings; throws SettingsError. Unknown fields are ignored.
/// `source` is the file name for error messages.
Settings parse_settings(const std::string& toml_text, const std::string& source);
/// Reads the file and parses it; throws SettingsError, also if the file can't be read.
Settings load_settings(const std::string& path);

}  // namespace sumacquay
