#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace sumacquay {

/// A settings file that can't be used; what() is one line that names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Endpoint {
  std::string host;
  unsigned short port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

struct PeerSettings {
  std::string node;
  std::string zone;
  Endpoint addr;
};

struct TeamSettings {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: none
};

struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

/// Operators' own settings (HCL, read by its nearest kin libconfuse). Each is a ratio to a platform
/// figure.
struct Tuning {
  double leader_lease = 0.2;  ///< leader lease / worker lease
  double renew = 0.3;         ///< renewal period / leader lease
  double grace = 1.0;         ///< answers past the last word / Settings::answers_s at its most
  double round = 0.1;         ///< placement round / report period
  double suspect = 0.45;      ///< silence that makes a machine suspect / worker lease
  double idle = 0.4;          ///< idle time before a machine is returned / its boot time
  double headroom = 1.0;      ///< spare room / room that expected arrivals need
  double sockets = 0.7;       ///< sockets open to users and workers / all sockets
  int start_tries = 3;        ///< starts of a job before it backs off
};

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
  std::vector<Objective> objectives;
  double report_s = 1, lease_s = 10, gang_wait_s = 30, gang_peer_s = 5, cancel_s = 40;
  double state_rps = 100, state_write_rps = 30, state_value_kb = 8;
  int state_txn_ops = 24;
  double cloud_rps = 3, list_lag_s = 8;
  double max_sockets = 600;
  Tuning tuning;

  const TeamSettings* team(const std::string& name) const;
  /// For how long past the last word from the state service workers may be answered. A job may have
  /// been cancelled since, and what an answer keeps alive lasts for a worker's lease more: both
  /// together stay within the time that a cancellation has.
  double answers_s() const;
  /// The leader's lease, and the pause between its renewals, which is also the one between the
  /// controllers' words to one another.
  double leader_lease_s() const { return tuning.leader_lease * lease_s; }
  double renew_s() const { return tuning.renew * leader_lease_s(); }
  /// Whether a worker of a zone that is cut off finds a node of its zone before its lease is over,
  /// after it has waited for every node elsewhere. If not, delegates keep nothing alive, and the
  /// leader would only wait for them.
  bool finds_delegate(const std::string& of_zone) const;
  /// How long a node waits for the leader's next word before it answers in the leader's place.
  double delegation_after_s() const { return 2.5 * renew_s(); }
};

/// Reads and checks the platform's TOML; unknown fields are ignored.
Settings parse_settings(const std::string& toml_text, const std::string& source);
Settings load_settings(const std::string& path);
/// Reads and checks the operators' HCL; an unknown field is an error, since nobody else writes it.
Tuning parse_tuning(const std::string& hcl_text, const std::string& source);
Tuning load_tuning(const std::string& path);

}  // namespace sumacquay
