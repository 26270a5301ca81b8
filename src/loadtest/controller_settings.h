#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "loadtest/load_settings.h"

namespace sumacquay::loadtest {

/// Listen addresses of the processes and simulators of a deployment on this machine.
struct Addresses {
  std::vector<Endpoint> controllers;  ///< for users and workers
  std::vector<Endpoint> peers;        ///< for the other controllers
  Endpoint state, cloud;
  unsigned short workers_port = 0;
};
Addresses deployment_addresses(const LoadSettings& settings);

std::string controller_name(size_t controller);
std::string zone_name(size_t zone);
std::vector<TeamSettings> team_settings(const LoadSettings& settings);

/// The content of the platform's settings file of one controller.
std::string controller_toml(const LoadSettings& settings, size_t controller);

}  // namespace sumacquay::loadtest
