#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"
#include "wire/store_messages.h"
#include "wire/user_messages.h"

/// The other side of the platform's messages: what workers, users, the cloud and the state service
/// send and read. The simulators call it; src/wire holds the controllers' side.
namespace sumacquay::simulators {

// Workers.

std::string worker_heartbeat_body(const WorkerHeartbeat& heartbeat);

/// What a controller tells a worker, in the answer to a heartbeat or as commands.
struct WorkerCommands {
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;  ///< of commands alone
  std::vector<Command> commands;
};
/// None without a fencing token, or if a command is invalid.
std::optional<WorkerCommands> parse_worker_commands(std::string_view body);
/// The controller that a redirected worker is to report to; empty if it isn't named.
std::string parse_redirect(std::string_view body);

// Users.

std::string submission_body(const JobSpec& spec);

/// A job's state as a user is told it.
struct JobStatus {
  wire::UserVisibleState state = wire::UserVisibleState::Pending;
  uint32_t done = 0;
  uint32_t running = 0;
};
std::optional<JobStatus> parse_job_status(std::string_view body);

// The state service.

/// A value as it stands in a transaction: its bytes are kept as they are.
struct StoredChange {
  std::string key;
  std::string value;  ///< encoded; empty: delete
  uint64_t lease = 0;
  uint64_t version = 0;
};
struct StoreTransaction {
  std::vector<wire::Precondition> preconditions;
  std::vector<StoredChange> mutations;
};
std::optional<StoreTransaction> parse_transaction(std::string_view body);
std::string item_body(const StoredChange& item);
std::string items_body(const std::vector<StoredChange>& items, bool more, uint64_t revision);
std::string changes_body(const std::vector<StoredChange>& changes, uint64_t revision);
std::string revision_body(uint64_t revision);
std::string conflict_body(const std::vector<std::string>& failed, uint64_t revision);
std::string lease_body(uint64_t lease);
std::optional<double> parse_lease_seconds(std::string_view body);

// The cloud.

std::string types_body(const std::vector<MachineType>& types);
std::string machines_body(const std::vector<ListedMachine>& machines, bool more);

struct RentRequest {
  std::string request, type, zone;
  bool spot = false;
  uint64_t count = 0;
};
std::optional<RentRequest> parse_rent(std::string_view body);
std::string rented_body(const std::vector<std::string>& machines);
std::optional<std::vector<std::string>> parse_release(std::string_view body);

/// The value of a field in a query, empty if it isn't there.
std::string query_field(const std::string& query, std::string_view name);

}  // namespace sumacquay::simulators
