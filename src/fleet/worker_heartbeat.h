#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jobs/spec.h"

/// Worker heartbeats, commands to workers and the cloud's machine list, as plain values. src/wire
/// defines their encoding.
namespace sumacquay {

/// Identifies a task of a job.
struct TaskKey {
  std::string job;
  uint32_t task = 0;
  auto operator<=>(const TaskKey&) const = default;
};

/// Identifies one attempt to run a task. Attempt numbers are never reused.
struct TaskAttemptId {
  TaskKey task;
  uint64_t attempt = 0;
  auto operator<=>(const TaskAttemptId&) const = default;
};

/// State of a task attempt as reported by its worker.
enum class TaskState { Fetching, Waiting, Running, Checkpointing, Exited };
/// Reason why a task attempt has exited. `GangMemberGone`: another task of its gang exited.
/// `GangIncomplete`: its gang was not complete within `gang_wait_s`. `Busy`: the worker refused the
/// start because another attempt of the same task is on the machine.
enum class ExitCause {
  None,
  Done,
  Stopped,
  GangMemberGone,
  GangIncomplete,
  Error,
  InsufficientResources,
  Busy,
  Unknown
};

/// A task attempt as reported by its worker.
struct TaskStatus {
  TaskKey key;
  uint64_t attempt = 0;
  TaskState state = TaskState::Fetching;
  ExitCause cause = ExitCause::None;
};

/// A fencing token has the term of the leader that issued it in its high bits and a counter for
/// each worker in its low bits. This is the number of low bits.
inline constexpr int kFencingTokenCounterBits = 20;
/// First counter value that does not fit in the low bits.
inline constexpr uint64_t kFencingTokenCounterEnd = uint64_t{1} << kFencingTokenCounterBits;
inline uint64_t term_of_fencing_token(uint64_t fencing_token) {
  return fencing_token >> kFencingTokenCounterBits;
}

/// Orders the heartbeats of a worker: first by agent epoch, then by sequence number.
struct HeartbeatSequence {
  uint64_t agent_epoch = 0;
  uint64_t number = 0;
  auto operator<=>(const HeartbeatSequence&) const = default;
};

/// A worker's report of its state: a worker-initiated heartbeat, or the response to commands or a
/// probe.
struct WorkerHeartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  uint64_t agent_epoch = 0, sequence_number = 0, fencing_token = 0;
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;

  HeartbeatSequence sequence() const { return {agent_epoch, sequence_number}; }
};

/// Kind of a command. `Discard`: the leader has recorded the exit, so the worker may drop the
/// attempt from its heartbeats.
enum class CommandType { Start, Stop, Discard };

/// A command to a worker about one task attempt.
struct Command {
  CommandType type = CommandType::Start;
  TaskKey key;
  uint64_t attempt = 0;
  double grace_s = 0;  ///< for Stop: time to write a checkpoint, in seconds
  bool operator==(const Command&) const = default;
};

/// Stop commands for all tasks in a heartbeat whose jobs are cancelled or done; `job_ended` is the
/// predicate on the job id. Any node that renews a worker's lease sends them. They are always safe,
/// because attempt numbers are never reused.
template <class JobEnded>
std::vector<Command> stop_commands_for_ended_jobs(const WorkerHeartbeat& heartbeat,
                                                  JobEnded&& job_ended) {
  std::vector<Command> commands;
  for (const auto& status : heartbeat.tasks)
    if (status.state != TaskState::Exited && job_ended(status.key.job))
      commands.push_back({CommandType::Stop, status.key, status.attempt, 0});
  return commands;
}

/// A machine in the cloud's machine list.
struct ListedMachine {
  std::string id, addr, type, zone;
  bool spot = false;
  enum class State { Booting, Running, Failed } state = State::Booting;
  double age_s = 0;
};

}  // namespace sumacquay
