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

/// Codec of the messages as workers, users, the cloud and the key-value store write and read them.
/// Used by the simulators; src/wire holds the controllers' side.
namespace sumacquay::simulators {

// Workers.

std::string worker_heartbeat_body(const WorkerHeartbeat& heartbeat);

/// Commands of the leader to a worker, from a heartbeat response or a command request.
struct WorkerCommands {
  uint64_t fencing_token = 0;
  uint64_t agent_epoch = 0;  ///< set in command requests only
  std::vector<Command> commands;
};
/// Returns none if the fencing token is missing or a command is invalid.
std::optional<WorkerCommands> parse_worker_commands(std::string_view body);
/// The controller that a redirect response names; empty if it names none.
std::string parse_redirect(std::string_view body);

// Users.

std::string submission_body(const JobSpec& spec);

/// State and progress of a job as reported to its user.
struct JobStatus {
  wire::UserVisibleState state = wire::UserVisibleState::Pending;
  uint32_t done = 0;
  uint32_t running = 0;
};
std::optional<JobStatus> parse_job_status(std::string_view body);

// The key-value store.

/// A mutation, change or item of the key-value store. The value is kept as encoded bytes, without
/// decoding.
struct StoredChange {
  std::string key;
  std::string value;  ///< encoded; empty if the key is deleted
  uint64_t lease = 0;
  uint64_t version = 0;
};
/// A compare-and-swap transaction.
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
std::optional<double> parse_lease_duration_s(std::string_view body);

// The cloud.

std::string machine_types_body(const std::vector<MachineType>& types);
std::string machines_body(const std::vector<ListedMachine>& machines, bool more);

/// A scale-out request.
struct ScaleOutRequest {
  std::string request_name, type, zone;  ///< `request_name` is the idempotency key
  bool spot = false;
  uint64_t count = 0;
};
std::optional<ScaleOutRequest> parse_scale_out_request(std::string_view body);
std::string scale_out_response_body(const std::vector<std::string>& machines);
std::optional<std::vector<std::string>> parse_release(std::string_view body);

/// The value of a query parameter; empty if it is missing.
std::string query_parameter(const std::string& query, std::string_view name);

}  // namespace sumacquay::simulators
