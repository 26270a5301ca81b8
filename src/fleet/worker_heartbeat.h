#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jobs/spec.h"

/// What workers and the cloud say of machines, and what workers are commanded to do, as values.
/// src/wire knows their encoding.
namespace sumacquay {

/// A task of a job.
struct TaskKey {
  std::string job;
  uint32_t task = 0;
  auto operator<=>(const TaskKey&) const = default;
};

/// How far a task attempt is.
enum class TaskState { Fetching, Waiting, Running, Checkpointing, Exited };
/// Why a task attempt has exited; `GangMemberGone`: another task of its gang has.
enum class ExitCause { None, Done, Stopped, GangMemberGone, Alone, Error, NoRoom, Busy, Unknown };

/// A task attempt as its worker describes it.
struct TaskStatus {
  TaskKey key;
  uint64_t attempt = 0;
  TaskState state = TaskState::Fetching;
  ExitCause cause = ExitCause::None;
};

/// A fencing token is the term of the leader that issued it, and in its low bits a counter of the
/// worker's own.
inline constexpr int kFencingTokenCounterBits = 20;
/// The first counter that no longer fits in the low bits.
inline constexpr uint64_t kFencingTokenCounterEnd = uint64_t{1} << kFencingTokenCounterBits;
inline uint64_t term_of_fencing_token(uint64_t fencing_token) {
  return fencing_token >> kFencingTokenCounterBits;
}

/// The order of a worker's heartbeats: all those of a later agent epoch are newer than those of an
/// earlier one.
struct HeartbeatSequence {
  uint64_t agent_epoch = 0;
  uint64_t number = 0;
  auto operator<=>(const HeartbeatSequence&) const = default;
};

/// What a worker says of itself, in a heartbeat of its own or in the answer to a command or a
/// probe.
struct WorkerHeartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  uint64_t agent_epoch = 0, sequence_number = 0, fencing_token = 0;
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;

  HeartbeatSequence sequence() const { return {agent_epoch, sequence_number}; }
};

/// `Forget`: the exit is recorded, and the worker need not mention the attempt any more.
enum class Verb { Start, Stop, Forget };

/// What a worker is to do about one task attempt.
struct Command {
  Verb verb = Verb::Start;
  TaskKey key;
  uint64_t attempt = 0;
  double grace_s = 0;  ///< stop: seconds to write a checkpoint in
  bool operator==(const Command&) const = default;
};

/// Stop commands for all tasks of a heartbeat whose jobs are known to be cancelled or finished:
/// `ended` says so of a job's id. They do no harm at any time, since attempts are never reused, and
/// whoever renews a worker's lease sends them.
template <class Ended>
std::vector<Command> stops_of_ended(const WorkerHeartbeat& heartbeat, Ended&& ended) {
  std::vector<Command> commands;
  for (const auto& status : heartbeat.tasks)
    if (status.state != TaskState::Exited && ended(status.key.job))
      commands.push_back({Verb::Stop, status.key, status.attempt, 0});
  return commands;
}

/// A machine in the cloud's list.
struct ListedMachine {
  std::string id, addr, type, zone;
  bool spot = false;
  enum class State { Booting, Running, Failed } state = State::Booting;
  double age_s = 0;
};

}  // namespace sumacquay
