// The sizes that the scheduler assumes for tasks and commands in messages, compared with encoded
// messages.
#include "wire/worker_message_size.h"

#include <gtest/gtest.h>

#include <string_view>

#include "generators.h"
#include "simulators/messages.h"
#include "wire/json_size.h"
#include "wire/messages.h"
#include "wire/view.h"

namespace sumacquay {
namespace {

using testing::check_property;

size_t encoded_size(const std::string& body) {
  return wire::json_size(wire::Document::parse(body)->root());
}

TaskAttemptId any_attempt() {
  const auto name = *rc::gen::container<std::string>(rc::gen::inRange<char>(33, 127));
  return {{"job-" + name, *rc::gen::arbitrary<uint32_t>()}, *rc::gen::arbitrary<uint64_t>()};
}

/// The bytes that the task adds to a heartbeat which lists it twice instead of once.
size_t size_in_heartbeat(const TaskStatus& task) {
  WorkerHeartbeat heartbeat;
  heartbeat.tasks = {task};
  const size_t once = encoded_size(simulators::worker_heartbeat_body(heartbeat));
  heartbeat.tasks.push_back(task);
  return encoded_size(simulators::worker_heartbeat_body(heartbeat)) - once;
}

size_t size_in_response(const Command& command) {
  return encoded_size(wire::heartbeat_response_body(1, {command, command})) -
         encoded_size(wire::heartbeat_response_body(1, {command}));
}

TEST(WorkerMessageSize, BoundCoversTaskInEachStateAndEachCommand) {
  constexpr std::string_view kSavedProgress = R"("kept":true,)";  // the simulators never write it
  EXPECT_TRUE(check_property(
      "attempt_size_bound() covers every entry about the attempt",
      [&] {
        const TaskAttemptId id = any_attempt();
        const size_t bound = wire::attempt_size_bound(id);
        for (const TaskState state : {TaskState::Fetching, TaskState::Waiting, TaskState::Running,
                                      TaskState::Checkpointing})
          RC_ASSERT(size_in_heartbeat({id.task, id.attempt, state, ExitCause::None}) <= bound);
        for (int cause = static_cast<int>(ExitCause::Done);
             cause <= static_cast<int>(ExitCause::Unknown); ++cause) {
          const TaskStatus exited{id.task, id.attempt, TaskState::Exited,
                                  static_cast<ExitCause>(cause)};
          RC_ASSERT(size_in_heartbeat(exited) + kSavedProgress.size() <= bound);
        }
        for (const CommandType type : {CommandType::Start, CommandType::Stop, CommandType::Discard})
          for (const double grace_s : {0.0, 12.100000000000001, 1.0 / 3}) {
            const Command command{type, id.task, id.attempt, grace_s};
            RC_ASSERT(size_in_response(command) <= wire::command_size_bound(command));
            RC_ASSERT(wire::command_size_bound(command) <= bound);
          }
      },
      200));
}

TEST(WorkerMessageSize, TasksWithinListSpaceFitInEveryMessage) {
  JobSpec spec;
  spec.id = "job-000412";
  spec.tasks = 100000;
  const size_t per_task = wire::attempt_size_bound(spec, UINT64_MAX);
  const auto tasks = static_cast<uint32_t>(wire::kMaxListBytes / per_task);
  WorkerHeartbeat heartbeat;
  heartbeat.machine = heartbeat.addr = heartbeat.type = heartbeat.zone = std::string(150, 'm');
  heartbeat.agent_epoch = heartbeat.sequence_number = heartbeat.fencing_token = UINT64_MAX;
  std::vector<Command> stops;
  for (uint32_t task = 0; task < tasks; ++task) {
    const TaskKey key{spec.id, spec.tasks - 1 - task};
    heartbeat.tasks.push_back({key, UINT64_MAX, TaskState::Exited, ExitCause::GangMemberGone});
    stops.push_back({CommandType::Stop, key, UINT64_MAX, 1.0 / 3});
  }
  EXPECT_LE(encoded_size(simulators::worker_heartbeat_body(heartbeat)), wire::kMaxBodyBytes);
  EXPECT_TRUE(wire::fit_in_message(stops));
  EXPECT_LE(encoded_size(wire::heartbeat_response_body(UINT64_MAX, stops)), wire::kMaxBodyBytes);
  EXPECT_LE(encoded_size(wire::worker_commands_body(UINT64_MAX, UINT64_MAX, stops)),
            wire::kMaxBodyBytes);
  const size_t tasks_before = stops.size();
  stops.insert(stops.end(), stops.begin(), stops.begin() + static_cast<int>(tasks_before / 10));
  EXPECT_FALSE(wire::fit_in_message(stops));
}

}  // namespace
}  // namespace sumacquay
