#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"

/// Requests to the cloud provider and its responses: the available machine types, the provisioned
/// machines, scale out and scale in. Called by the node. Scaling decisions are made elsewhere.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kTypes = "/machine_types";
inline constexpr const char* kMachines = "/hosts";
inline constexpr const char* kRelease = "/hosts/release";
}  // namespace path

/// One page of the list of provisioned machines, in the order of their names.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  ///< another page starts after the last machine of this one
};

/// Parses the list of machine types that can be requested; none if any type is invalid.
std::optional<std::vector<MachineType>> parse_types(std::string_view body);

/// Path of a request for at most `limit` machines after the machine `after`; if `after` is empty,
/// the page starts with the first machine.
std::string machines_path(const std::string& after, int limit);

/// Parses a page of machines; none if any machine is invalid.
std::optional<MachinePage> parse_machines(std::string_view body);

/// Encodes a request for `count` machines. `request_name` is an idempotency key: repeating it
/// provisions no further machines.
std::string scale_out_body(const std::string& request_name, const std::string& type,
                           const std::string& zone, bool spot, int count);

/// Parses the names of the machines that were provisioned; none if the response has no list of
/// machines.
std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body);

/// Encodes a request to return machines to the cloud.
std::string release_body(const std::vector<std::string>& machines);

}  // namespace sumacquay::wire
