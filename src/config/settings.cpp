#include "config/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <sstream>

#include "config/socket_budget.h"
#include "config/toml_table.h"

namespace sumacquay {
namespace {

// Plausible values; anything outside these ranges is treated as a mistake in the file.
constexpr double kMaxSeconds = 36000;
constexpr double kMaxAmount = 1e9;
constexpr SettingRange kAmountRange{0, kMaxAmount};
constexpr SettingRange kDurationRange{0, kMaxSeconds};
constexpr SettingRange kShareRange{0, 1};
constexpr SettingRange kHeartbeatPeriodRange{0.01, 3600};
constexpr SettingRange kLeaseRange{0.1, kMaxSeconds};
constexpr SettingRange kStateRateRange{1, kMaxAmount};
constexpr SettingRange kCloudRateRange{0.01, kMaxAmount};
constexpr SettingRange kValueSizeRange{1, 1e6};
constexpr SettingRange kTransactionOpsRange{2, 1e6};
/// check_socket_budget() has the actual minimum, which depends on the number of peers.
constexpr SettingRange kSocketsRange{1, kMaxAmount};

toml::table parse_toml(const std::string& text, const std::string& source) {
  try {
    return toml::parse(text, source);
  } catch (const toml::parse_error& error) {
    std::ostringstream location;
    location << "line " << error.source().begin.line;
    throw_setting_error(source, location.str(), std::string(error.description()));
  }
}

PeerSettings read_peer(const TomlTable& table) {
  PeerSettings peer;
  peer.node = table.string("label");
  peer.zone = table.string_or("area", "");
  peer.addr = table.endpoint("peer_addr");
  return peer;
}

TeamSettings read_team(const TomlTable& table) {
  TeamSettings team;
  team.name = table.string("name");
  team.cpus = table.number_or("cpus", 0, kAmountRange);
  team.cpus_max = table.number_or("cpus_max", 0, kAmountRange);
  team.gpus = table.number_or("gpus", 0, kAmountRange);
  team.gpus_max = table.number_or("gpus_max", 0, kAmountRange);
  return team;
}

ServiceLevelObjective read_objective(const TomlTable& table) {
  ServiceLevelObjective objective;
  objective.kind = table.string("kind");
  objective.job_class = table.string_or("class", "");
  objective.within_s = table.number_or("within_s", 0, kAmountRange);
  objective.share = table.number_or("share", 0, kShareRange);
  return objective;
}

void read_worker_limits(const TomlTable& workers, Settings& settings) {
  settings.heartbeat_period_s = workers.number("report_s", kHeartbeatPeriodRange);
  settings.lease_s = workers.number("lease_s", kLeaseRange);
  settings.gang_wait_s = workers.number("gang_wait_s", kDurationRange);
  settings.gang_peer_s = workers.number("gang_peer_s", kDurationRange);
  settings.cancel_s = workers.number("cancel_s", kDurationRange);
}

/// The lower of the current limit and the upcoming limit of this name, if there is one.
double stricter_limit(const TomlTable& current, const std::optional<TomlTable>& upcoming,
                      const char* name, SettingRange range) {
  const double limit = current.number(name, range);
  return upcoming ? std::min(limit, upcoming->number_or(name, limit, range)) : limit;
}

/// The key-value store switches to its upcoming limits without notice, so writes comply with both
/// sets of limits from the start.
void read_state_limits(const TomlTable& state, Settings& settings) {
  const std::optional<TomlTable> upcoming = state.optional_child("next");
  settings.state_rps = stricter_limit(state, upcoming, "rps", kStateRateRange);
  settings.state_write_rps = stricter_limit(state, upcoming, "write_rps", kStateRateRange);
  settings.state_value_kb = stricter_limit(state, upcoming, "value_kb", kValueSizeRange);
  settings.state_txn_ops =
      static_cast<int>(stricter_limit(state, upcoming, "txn_ops", kTransactionOpsRange));
}

void read_cloud_limits(const TomlTable& cloud, Settings& settings) {
  settings.cloud_rps = cloud.number("rps", kCloudRateRange);
  settings.list_lag_s = cloud.number("list_lag_s", kDurationRange);
}

/// Reads the platform's parameters, which are the same on all nodes.
void read_params(const TomlTable& params, Settings& settings) {
  settings.zones = params.strings("zones");
  for (const TomlTable& team : params.children("teams")) settings.teams.push_back(read_team(team));
  for (const TomlTable& objective : params.children("objectives"))
    settings.objectives.push_back(read_objective(objective));
  read_worker_limits(params.child("workers"), settings);
  read_state_limits(params.child("state"), settings);
  read_cloud_limits(params.child("cloud"), settings);
  settings.max_sockets = params.child("quota").number("fd_limit", kSocketsRange);
}

}  // namespace

const TeamSettings* Settings::team(const std::string& name) const {
  const auto found = std::find_if(teams.begin(), teams.end(),
                                  [&](const TeamSettings& team) { return team.name == name; });
  return found == teams.end() ? nullptr : &*found;
}

double Settings::answer_grace_s() const {
  // The clocks of this node and of the worker may each drift. The slack, in seconds, covers delays
  // that the formula does not include.
  constexpr double kMaxClockDrift = 0.002;
  constexpr double kSlackSeconds = 0.3;
  // If a cancellation has less time than a leader lease lasts, no setting could meet its limit.
  const double min_grace_s = leader_lease_s();
  return std::max(min_grace_s, tuning.grace * (cancel_s * (1 - kMaxClockDrift) -
                                               lease_s * (1 + kMaxClockDrift) - kSlackSeconds));
}

bool Settings::delegate_reachable_within_lease(const std::string& of_zone) const {
  // From the worker protocol: a worker waits 4 s for a response and tries the next node 1 s later.
  constexpr double kSecondsPerNode = 4 + 1;
  size_t nodes_elsewhere = zone == of_zone ? 0 : 1;
  for (const auto& peer : peers)
    if (peer.zone != of_zone) ++nodes_elsewhere;
  // A heartbeat arrives up to a quarter of a period late.
  return static_cast<double>(nodes_elsewhere) * kSecondsPerNode + 1.25 * heartbeat_period_s <=
         lease_s;
}

Settings parse_settings(const std::string& toml_text, const std::string& source) {
  const toml::table parsed = parse_toml(toml_text, source);
  const TomlTable root(source, "", &parsed);
  Settings settings;
  settings.node = root.string("label");
  settings.zone = root.string_or("area", "");
  settings.listen = root.endpoint("listen");
  settings.peer_listen = root.endpoint("back");
  for (const TomlTable& peer : root.children("known")) settings.peers.push_back(read_peer(peer));
  const TomlTable services = root.child("services");
  settings.cloud = services.endpoint("cloud");
  settings.state = services.endpoint("state");
  read_params(root.child("params"), settings);
  check_socket_budget(settings, source);
  return settings;
}

Settings load_settings(const std::string& path) {
  return parse_settings(read_settings_file(path), path);
}

}  // namespace sumacquay
