#include "simulators/messages.h"

#include <charconv>
#include <utility>

#include "wire/codec.h"
#include "wire/enum_names.h"
#include "wire/field_names.h"
#include "wire/job_spec_codec.h"

namespace sumacquay::simulators {
namespace {

namespace field = wire::field;
namespace enum_names = wire::enum_names;
using wire::Document;
using wire::View;
using wire::codec::Buffer;
using wire::codec::Fields;
using wire::codec::name_of;
using wire::codec::pack_field;
using wire::codec::pack_list;
using wire::codec::pack_message;
using wire::codec::pack_text;
using wire::codec::Packer;
using wire::codec::read_root;
using wire::codec::value_of;

constexpr size_t kMaxNameBytes = 200;

std::optional<TaskKey> read_task_key(View name) {
  const auto text = name.text_view();
  if (!text) return std::nullopt;
  const auto slash = text->rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  TaskKey key{std::string(text->substr(0, slash)), 0};
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data() + slash + 1, end, key.task);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return key;
}

std::optional<Command> read_command(View map) {
  const auto type = value_of(enum_names::kCommandTypes, map["verb"]);
  const auto key = read_task_key(map[field::kTask]);
  const auto attempt = map[field::kAttempt].unsigned_integer();
  if (!type || !key || !attempt) return std::nullopt;
  return Command{*type, *key, *attempt, map["easing_s"].number().value_or(0)};
}

std::optional<WorkerCommands> read_commands(View root) {
  WorkerCommands worker_commands;
  const auto fencing_token = root[field::kFencingToken].unsigned_integer();
  if (!fencing_token) return std::nullopt;
  worker_commands.fencing_token = *fencing_token;
  worker_commands.agent_epoch = root[field::kAgentEpoch].unsigned_integer().value_or(0);
  const View list = root["orders"];
  for (size_t i = 0; i < list.size(); ++i) {
    auto command = read_command(list.at(i));
    if (!command) return std::nullopt;
    worker_commands.commands.push_back(std::move(*command));
  }
  return worker_commands;
}

void pack_task(Packer& packer, const TaskStatus& task) {
  const bool exited = task.state == TaskState::Exited;
  packer.pack_map(exited ? 4 : 3);
  pack_field(packer, field::kTask, task.key.job + "/" + std::to_string(task.key.task));
  pack_field(packer, field::kAttempt, task.attempt);
  pack_field(packer, field::kState, name_of(enum_names::kTaskStates, task.state));
  if (exited) pack_field(packer, "cause", name_of(enum_names::kExitCauses, task.cause));
}

std::string encoded(View value) {
  Buffer buffer;
  msgpack::pack(buffer, *value.object());
  return {buffer.data(), buffer.size()};
}

std::optional<StoredChange> read_change(View map) {
  StoredChange change;
  change.lease = map[field::kLease].unsigned_integer().value_or(0);
  if (const auto key = map[field::kDelete].text()) {
    change.key = *key;
    return change;
  }
  const auto key = map[field::kSet].text();
  const View value = map[field::kValue];
  if (!key || value.missing()) return std::nullopt;
  change.key = *key;
  change.value = encoded(value);
  return change;
}

std::optional<StoreTransaction> read_transaction(View root) {
  StoreTransaction transaction;
  const View preconditions = root["guards"];
  for (size_t i = 0; i < preconditions.size(); ++i) {
    const auto key = preconditions.at(i)[field::kKey].text();
    const auto version = preconditions.at(i)[field::kVersion].unsigned_integer();
    if (!key || !version) return std::nullopt;
    transaction.preconditions.push_back({*key, *version});
  }
  const View changes = root["apply"];
  for (size_t i = 0; i < changes.size(); ++i) {
    auto change = read_change(changes.at(i));
    if (!change) return std::nullopt;
    transaction.mutations.push_back(std::move(*change));
  }
  return transaction;
}

/// Writes an encoded value. `buffer` is the buffer of the packer: the bytes bypass the packer.
void pack_value(Buffer& buffer, Packer& packer, const std::string& value) {
  pack_text(packer, field::kValue);
  buffer.write(value.data(), value.size());
}

void pack_item(Buffer& buffer, Packer& packer, const StoredChange& item) {
  packer.pack_map(item.lease ? 4 : 3);
  pack_field(packer, field::kKey, item.key);
  pack_value(buffer, packer, item.value);
  pack_field(packer, field::kVersion, item.version);
  if (item.lease) pack_field(packer, field::kLease, item.lease);
}

void pack_change(Buffer& buffer, Packer& packer, const StoredChange& change) {
  packer.pack_map(change.value.empty() ? 2 : 3);
  pack_field(packer, change.value.empty() ? field::kDelete : field::kSet, change.key);
  if (!change.value.empty()) pack_value(buffer, packer, change.value);
  pack_field(packer, field::kVersion, change.version);
}

void pack_type(Packer& packer, const MachineType& type) {
  packer.pack_map(10);
  pack_field(packer, "sku", type.name);
  pack_field(packer, field::kCpus, type.capacity.cpus);
  pack_field(packer, field::kGpus, type.capacity.gpus);
  pack_field(packer, field::kMemory, type.capacity.memory_gb);
  pack_field(packer, "local_gb", type.cache_gb);
  pack_field(packer, "fetch_gb_per_s", type.fetch_gb_per_s);
  pack_field(packer, "hourly", type.price);
  pack_field(packer, "market_price", type.spot_price);
  pack_field(packer, "boot_s", type.boot_s);
  pack_text(packer, "halls");
  wire::codec::pack_texts(packer, type.zones);
}

void pack_machine(Packer& packer, const ListedMachine& machine) {
  packer.pack_map(7);
  pack_field(packer, field::kId, machine.id);
  pack_field(packer, field::kAddress, machine.addr);
  pack_field(packer, field::kType, machine.type);
  pack_field(packer, field::kZone, machine.zone);
  pack_field(packer, field::kSpot, machine.spot);
  pack_field(packer, field::kState, name_of(enum_names::kMachineStates, machine.state));
  pack_field(packer, "age_s", machine.age_s);
}

std::optional<ScaleOutRequest> read_scale_out_request(View root) {
  Fields fields(root);
  ScaleOutRequest scale_out;
  scale_out.request_name = fields.text("hire", 1, kMaxNameBytes);
  scale_out.type = fields.text(field::kType, 1, kMaxNameBytes);
  scale_out.zone = fields.text(field::kZone, 0, kMaxNameBytes);
  scale_out.spot = fields.flag(field::kSpot);
  scale_out.count = fields.unsigned_integer("how_many", 1, UINT32_MAX);
  if (!fields.ok()) return std::nullopt;
  return scale_out;
}

}  // namespace

std::string worker_heartbeat_body(const WorkerHeartbeat& heartbeat) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(heartbeat.preemption_notice_s ? 10 : 9);
    pack_field(packer, field::kMachine, heartbeat.machine);
    pack_field(packer, field::kAddress, heartbeat.addr);
    pack_field(packer, field::kType, heartbeat.type);
    pack_field(packer, field::kZone, heartbeat.zone);
    pack_field(packer, field::kSpot, heartbeat.spot);
    pack_field(packer, field::kAgentEpoch, heartbeat.agent_epoch);
    pack_field(packer, "tally", heartbeat.sequence_number);
    pack_field(packer, field::kFencingToken, heartbeat.fencing_token);
    if (heartbeat.preemption_notice_s)
      pack_field(packer, "warning_s", *heartbeat.preemption_notice_s);
    pack_text(packer, field::kTasks);
    pack_list(packer, heartbeat.tasks.size());
    for (const auto& task : heartbeat.tasks) pack_task(packer, task);
  });
}

std::optional<WorkerCommands> parse_worker_commands(std::string_view body) {
  return read_root<WorkerCommands>(body, read_commands);
}

std::string parse_redirect(std::string_view body) {
  const auto document = Document::parse(body);
  return document ? document->root()["foreman"].text_or("") : std::string();
}

std::string submission_body(const JobSpec& spec) {
  return pack_message([&](Packer& packer) { wire::codec::pack_spec(packer, spec); });
}

std::optional<JobStatus> parse_job_status(std::string_view body) {
  return read_root<JobStatus>(body, [](View root) -> std::optional<JobStatus> {
    const auto state = value_of(enum_names::kUserVisibleStates, root[field::kState]);
    if (!state) return std::nullopt;
    JobStatus status;
    status.state = *state;
    status.done = static_cast<uint32_t>(root["done"].unsigned_integer().value_or(0));
    status.running = static_cast<uint32_t>(root["running"].unsigned_integer().value_or(0));
    return status;
  });
}

std::optional<StoreTransaction> parse_transaction(std::string_view body) {
  return read_root<StoreTransaction>(body, read_transaction);
}

std::string item_body(const StoredChange& item) {
  Buffer buffer;
  Packer packer(buffer);
  pack_item(buffer, packer, item);
  return {buffer.data(), buffer.size()};
}

std::string items_body(const std::vector<StoredChange>& items, bool more, uint64_t revision) {
  Buffer buffer;
  Packer packer(buffer);
  packer.pack_map(3);
  pack_text(packer, "items");
  pack_list(packer, items.size());
  for (const auto& item : items) pack_item(buffer, packer, item);
  pack_field(packer, field::kMore, more);
  pack_field(packer, field::kRevision, revision);
  return {buffer.data(), buffer.size()};
}

std::string changes_body(const std::vector<StoredChange>& changes, uint64_t revision) {
  Buffer buffer;
  Packer packer(buffer);
  packer.pack_map(2);
  pack_field(packer, field::kRevision, revision);
  pack_text(packer, "log");
  pack_list(packer, changes.size());
  for (const auto& change : changes) pack_change(buffer, packer, change);
  return {buffer.data(), buffer.size()};
}

std::string revision_body(uint64_t revision) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(1);
    pack_field(packer, field::kRevision, revision);
  });
}

std::string conflict_body(const std::vector<std::string>& failed, uint64_t revision) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(2);
    pack_text(packer, "failed");
    wire::codec::pack_texts(packer, failed);
    pack_field(packer, field::kRevision, revision);
  });
}

std::string lease_body(uint64_t lease) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(1);
    pack_field(packer, field::kLease, lease);
  });
}

std::optional<double> parse_lease_duration_s(std::string_view body) {
  constexpr double kMillisecondsPerSecond = 1000;
  return read_root<double>(body, [](View root) -> std::optional<double> {
    const auto milliseconds = root["life_ms"].number();
    if (!milliseconds) return std::nullopt;
    return *milliseconds / kMillisecondsPerSecond;
  });
}

std::string machine_types_body(const std::vector<MachineType>& types) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(1);
    pack_text(packer, field::kTypes);
    pack_list(packer, types.size());
    for (const auto& type : types) pack_type(packer, type);
  });
}

std::string machines_body(const std::vector<ListedMachine>& machines, bool more) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(2);
    pack_text(packer, field::kMachines);
    pack_list(packer, machines.size());
    for (const auto& machine : machines) pack_machine(packer, machine);
    pack_field(packer, field::kMore, more);
  });
}

std::optional<ScaleOutRequest> parse_scale_out_request(std::string_view body) {
  return read_root<ScaleOutRequest>(body, read_scale_out_request);
}

std::string scale_out_response_body(const std::vector<std::string>& machines) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(1);
    pack_text(packer, field::kMachines);
    wire::codec::pack_texts(packer, machines);
  });
}

std::optional<std::vector<std::string>> parse_release(std::string_view body) {
  return read_root<std::vector<std::string>>(
      body, [](View root) -> std::optional<std::vector<std::string>> {
        const View list = root[field::kMachines];
        if (!list.is_list()) return std::nullopt;
        std::vector<std::string> machines;
        for (size_t i = 0; i < list.size(); ++i) machines.push_back(list.at(i).text_or(""));
        return machines;
      });
}

std::string query_parameter(const std::string& query, std::string_view name) {
  size_t begin = 0;
  while (begin < query.size()) {
    const size_t end = std::min(query.find('&', begin), query.size());
    const std::string_view pair = std::string_view(query).substr(begin, end - begin);
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name)
      return std::string(pair.substr(equals + 1));
    begin = end + 1;
  }
  return {};
}

}  // namespace sumacquay::simulators
