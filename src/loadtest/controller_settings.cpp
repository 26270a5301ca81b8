#include "loadtest/controller_settings.h"

#include <sstream>

namespace sumacquay::loadtest {
namespace {

constexpr const char* kLoopback = "127.0.0.1";

Endpoint endpoint_at(const LoadSettings& settings, size_t offset) {
  return {kLoopback,
          static_cast<unsigned short>(settings.first_port + static_cast<double>(offset))};
}

}  // namespace

Addresses deployment_addresses(const LoadSettings& settings) {
  Addresses out;
  const auto count = static_cast<size_t>(settings.controllers);
  for (size_t i = 0; i < count; ++i) {
    out.controllers.push_back(endpoint_at(settings, 2 * i));
    out.peers.push_back(endpoint_at(settings, 2 * i + 1));
  }
  out.state = endpoint_at(settings, 2 * count);
  out.cloud = endpoint_at(settings, 2 * count + 1);
  out.workers_port = endpoint_at(settings, 2 * count + 2).port;
  return out;
}

std::string controller_name(size_t controller) {
  return "controller-" + std::to_string(controller);
}

std::string zone_name(size_t zone) {
  return "zone-" + std::to_string(zone);
}

std::vector<TeamSettings> team_settings(const LoadSettings& settings) {
  constexpr double kGuaranteedFraction = 0.5;
  constexpr double kMaxGpusFactor = 3;  // teams may borrow unused capacity of other teams
  const auto capacity = static_cast<double>(settings.tasks());
  const double share = capacity / settings.teams;
  std::vector<TeamSettings> teams;
  for (size_t i = 0; i < static_cast<size_t>(settings.teams); ++i) {
    TeamSettings team;
    team.name = "team-" + std::to_string(i);
    team.gpus = std::max(1.0, kGuaranteedFraction * share);
    team.gpus_max = std::max(kMaxGpusFactor * share, 64.0);
    teams.push_back(team);
  }
  return teams;
}

std::string controller_toml(const LoadSettings& settings, size_t controller) {
  const Addresses addresses = deployment_addresses(settings);
  const auto zones = static_cast<size_t>(settings.zones);
  std::ostringstream out;
  out << "label = \"" << controller_name(controller) << "\"\n"
      << "area = \"" << zone_name(controller % zones) << "\"\n"
      << "listen = \"" << addresses.controllers[controller].to_string() << "\"\n"
      << "back = \"" << addresses.peers[controller].to_string() << "\"\n";
  for (size_t peer = 0; peer < addresses.peers.size(); ++peer)
    if (peer != controller)
      out << "[[known]]\nlabel = \"" << controller_name(peer) << "\"\narea = \""
          << zone_name(peer % zones) << "\"\npeer_addr = \"" << addresses.peers[peer].to_string()
          << "\"\n";
  out << "[services]\ncloud = \"" << addresses.cloud.to_string() << "\"\nstate = \""
      << addresses.state.to_string() << "\"\n[params]\nzones = [";
  for (size_t zone = 0; zone < zones; ++zone)
    out << (zone ? ", " : "") << '"' << zone_name(zone) << '"';
  out << "]\n";
  for (const auto& team : team_settings(settings))
    out << "[[params.teams]]\nname = \"" << team.name << "\"\ngpus = " << team.gpus
        << "\ngpus_max = " << team.gpus_max << "\n";
  out << "[params.workers]\nreport_s = " << settings.heartbeat_period_s
      << "\nlease_s = " << settings.lease_s
      << "\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = " << settings.cancel_s
      << "\n[params.state]\nrps = " << settings.state_rps
      << "\nwrite_rps = " << settings.state_write_rps << "\nvalue_kb = " << settings.state_value_kb
      << "\ntxn_ops = " << settings.state_txn_ops
      << "\n[params.cloud]\nrps = " << settings.cloud_rps
      << "\nlist_lag_s = 8.0\n[params.quota]\nfd_limit = " << settings.controller_sockets << "\n";
  return out.str();
}

}  // namespace sumacquay::loadtest
