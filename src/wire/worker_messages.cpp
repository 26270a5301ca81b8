#include "wire/worker_messages.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "wire/codec.h"
#include "wire/enum_names.h"
#include "wire/field_names.h"

namespace sumacquay::wire {
namespace {

using codec::Fields;
using codec::pack_field;
using codec::pack_message;
using codec::Packer;
using codec::value_of;

/// Names are parts of keys in the store, which have at most 200 bytes including a prefix.
constexpr size_t kMaxNameBytes = 150;

/// Whether a name can be part of a key in the store: printable ASCII without spaces.
bool safe_in_keys(std::string_view name) {
  return std::all_of(name.begin(), name.end(),
                     [](unsigned char byte) { return byte > 32 && byte < 127; });
}

/// Encodes a task as `job/task`.
std::string task_name(const TaskKey& key) {
  return key.job + "/" + std::to_string(key.task);
}

std::optional<TaskKey> read_task_name(View value) {
  const auto name = value.text_view();
  if (!name) return std::nullopt;
  const auto slash = name->rfind('/');
  if (slash == std::string_view::npos || slash == 0) return std::nullopt;
  TaskKey key{std::string(name->substr(0, slash)), 0};
  const char* const end = name->data() + name->size();
  const auto [parsed_to, error] = std::from_chars(name->data() + slash + 1, end, key.task);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  return key;
}

/// If a task has exited, a missing or unknown cause reads as an error.
ExitCause read_exit_cause(View task, TaskState state) {
  const auto cause = value_of(enum_names::kExitCauses, task["cause"]);
  if (cause) return *cause;
  return state == TaskState::Exited ? ExitCause::Error : ExitCause::None;
}

std::optional<TaskStatus> read_task(View task) {
  const auto key = read_task_name(task[field::kTask]);
  const auto attempt = task[field::kAttempt].unsigned_integer();
  const auto state = value_of(enum_names::kTaskStates, task[field::kState]);
  if (!key || !attempt || !state) return std::nullopt;
  return TaskStatus{*key, *attempt, *state, read_exit_cause(task, *state)};
}

std::optional<WorkerHeartbeat> read_worker_heartbeat(View root) {
  Fields fields(root);
  WorkerHeartbeat heartbeat;
  heartbeat.machine = fields.text(field::kMachine, 1, kMaxNameBytes);
  heartbeat.addr = fields.text(field::kAddress, 1, kMaxNameBytes);
  heartbeat.type = fields.text(field::kType, 0, kMaxNameBytes);
  heartbeat.zone = fields.text(field::kZone, 0, kMaxNameBytes);
  heartbeat.spot = fields.flag(field::kSpot);
  heartbeat.agent_epoch = fields.unsigned_integer(field::kAgentEpoch);
  heartbeat.sequence_number = fields.unsigned_integer("tally");
  heartbeat.fencing_token = fields.unsigned_integer(field::kFencingToken);
  heartbeat.preemption_notice_s = root["warning_s"].number();
  const View tasks = root[field::kTasks];
  if (!fields.ok() || !tasks.is_list() || !safe_in_keys(heartbeat.machine)) return std::nullopt;
  auto statuses = codec::read_list(tasks, read_task);
  if (!statuses) return std::nullopt;
  heartbeat.tasks = std::move(*statuses);
  return heartbeat;
}

void pack_command(Packer& packer, const Command& command) {
  const bool is_stop = command.type == CommandType::Stop;
  packer.pack_map(is_stop ? 4 : 3);
  pack_field(packer, "verb", name_of(enum_names::kCommandTypes, command.type));
  pack_field(packer, field::kTask, task_name(command.key));
  pack_field(packer, field::kAttempt, command.attempt);
  if (is_stop) pack_field(packer, "easing_s", command.grace_s);
}

void pack_commands(Packer& packer, const std::vector<Command>& commands) {
  codec::pack_text(packer, "orders");
  codec::pack_list(packer, commands, pack_command);
}

}  // namespace

std::optional<WorkerHeartbeat> parse_worker_heartbeat(std::string_view body) {
  return codec::read_root<WorkerHeartbeat>(body, read_worker_heartbeat);
}

std::string heartbeat_response_body(uint64_t fencing_token, const std::vector<Command>& commands) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(2);
    pack_field(packer, field::kFencingToken, fencing_token);
    pack_commands(packer, commands);
  });
}

std::string redirect_body(const std::string& node) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(node.empty() ? 0 : 1);
    if (!node.empty()) pack_field(packer, "foreman", node);
  });
}

std::string worker_commands_body(uint64_t fencing_token, uint64_t agent_epoch,
                                 const std::vector<Command>& commands) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(3);
    pack_field(packer, field::kFencingToken, fencing_token);
    pack_field(packer, field::kAgentEpoch, agent_epoch);
    pack_commands(packer, commands);
  });
}

}  // namespace sumacquay::wire
