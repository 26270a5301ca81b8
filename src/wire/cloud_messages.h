#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"

/// Requests to the cloud that rents out machines, and its answers: which types there are, which
/// machines are rented, scale out and scale in. The node calls it; when to rent is not known here.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kTypes = "/machine_types";
inline constexpr const char* kMachines = "/hosts";
inline constexpr const char* kRelease = "/hosts/release";
}  // namespace path

/// One page of the list of rented machines, in the order of their names.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;  ///< the next page starts after this one's last machine
};

/// Reads the list of types that can be rented; none if any of them is invalid.
std::optional<std::vector<MachineType>> parse_types(std::string_view body);

/// Asks for a page of at most `limit` machines after the named one; from the first if it is empty.
std::string machines_path(const std::string& after, int limit);

/// Reads such a page; none if any machine on it is invalid.
std::optional<MachinePage> parse_machines(std::string_view body);

/// Asks for `count` machines. The same `request` sent again rents nothing more.
std::string rent_body(const std::string& request, const std::string& type, const std::string& zone,
                      bool spot, int count);

/// Reads which machines were rented.
std::optional<std::vector<std::string>> parse_rented(std::string_view body);

/// Asks the cloud to take machines back.
std::string release_body(const std::vector<std::string>& machines);

}  // namespace sumacquay::wire
