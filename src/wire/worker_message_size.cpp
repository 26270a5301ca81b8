#include "wire/worker_message_size.h"

#include <algorithm>
#include <string_view>

#include "wire/enum_names.h"
#include "wire/json_size.h"

namespace sumacquay::wire {
namespace {

// The entries of lists in their longest form, without the name of the task and the numbers. Each is
// followed by a comma.
constexpr std::string_view kLongestListedTask =
    R"({"thread":,"try":,"stage":"exited","cause":"mates_gone","kept":true},)";
constexpr std::string_view kStart = R"({"verb":"start","thread":,"try":},)";
constexpr std::string_view kDiscard = R"({"verb":"clear","thread":,"try":},)";
constexpr std::string_view kStop = R"({"verb":"kill","thread":,"try":,"easing_s":},)";
/// Longest common form of a duration: 17 digits, a sign, a point and an exponent.
constexpr size_t kMaxDurationBytes = 24;
constexpr size_t kStopBytes = kStop.size() + kMaxDurationBytes;
constexpr size_t kSlashBytes = 1;

constexpr std::string_view kListedTask = R"({"thread":,"try":,"stage":""},)";
constexpr std::string_view kListedCause = R"(,"cause":"")";
constexpr std::string_view kListedSavedProgress = R"(,"kept":true)";

/// Size of the name of the task, `"job/task"`, and of the attempt number.
size_t identity_size(const TaskKey& task, uint64_t attempt) {
  return json_size(std::string_view(task.job)) + kSlashBytes + decimal_size(task.task) +
         decimal_size(attempt);
}

/// Size of the fields about the exit of a task. Whether its progress was saved is not known here.
size_t exit_size(const TaskStatus& task) {
  const size_t cause =
      kListedCause.size() + codec::name_of(enum_names::kExitCauses, task.cause).size();
  return task.cause == ExitCause::Stopped ? cause + kListedSavedProgress.size() : cause;
}

size_t listed_task_size(const TaskStatus& task) {
  const size_t size = kListedTask.size() + identity_size(task.key, task.attempt) +
                      codec::name_of(enum_names::kTaskStates, task.state).size();
  return task.state == TaskState::Exited ? size + exit_size(task) : size;
}

}  // namespace

size_t listed_tasks_size(const WorkerHeartbeat& heartbeat) {
  size_t size = 0;
  for (const TaskStatus& task : heartbeat.tasks) size += listed_task_size(task);
  return size;
}

size_t attempt_size_bound(const TaskAttemptId& id) {
  return std::max({kLongestListedTask.size(), kStart.size(), kDiscard.size(), kStopBytes}) +
         identity_size(id.task, id.attempt);
}

size_t attempt_size_bound(const JobSpec& spec, uint64_t max_attempt) {
  return attempt_size_bound({{spec.id, spec.tasks}, max_attempt});
}

size_t command_size_bound(const Command& command) {
  const size_t identity = identity_size(command.key, command.attempt);
  switch (command.type) {
    case CommandType::Start:
      return kStart.size() + identity;
    case CommandType::Stop:
      return kStopBytes + identity;
    case CommandType::Discard:
      return kDiscard.size() + identity;
  }
  return kStopBytes + identity;
}

bool fit_in_message(const std::vector<Command>& commands) {
  size_t bytes = 0;
  for (const Command& command : commands) bytes += command_size_bound(command);
  return bytes <= kMaxListBytes;
}

}  // namespace sumacquay::wire
