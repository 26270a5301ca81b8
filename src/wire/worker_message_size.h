#pragma once
#include <cstddef>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "jobs/spec.h"

/// Sizes of the messages between workers and controllers, whose lists grow with the tasks of a
/// machine. The protocol limits the bodies of requests and the responses to workers, in JSON form.
/// Called by the scheduler, which keeps messages within the limit.
namespace sumacquay::wire {

/// The protocol's limit on a body, in bytes.
inline constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
/// Space for the list of tasks or commands in a body, in bytes. The rest is left to the other
/// fields, including those that later versions of workers may add.
inline constexpr size_t kMaxListBytes = kMaxBodyBytes - kMaxBodyBytes / 32;

/// Upper bound on the bytes that an attempt takes in any message: in a heartbeat, whatever its
/// state, and as a command. A worker whose tasks fit by this measure into `kMaxListBytes` can
/// report them, and any command about all of them fits into one message.
size_t attempt_size_bound(const TaskAttemptId& id);
/// The same for any task of the job, for attempt numbers up to `max_attempt`.
size_t attempt_size_bound(const JobSpec& spec, uint64_t max_attempt);

/// Bytes of the list of tasks in a heartbeat, in the states that it reports.
size_t listed_tasks_size(const WorkerHeartbeat& heartbeat);

/// Upper bound on the bytes that a command takes in a message.
size_t command_size_bound(const Command& command);
/// Whether one message can carry all of these commands.
bool fit_in_message(const std::vector<Command>& commands);

}  // namespace sumacquay::wire
