// Golden files (tests/data): the bytes of every message, record and heartbeat, and settings files
// with every field, recorded before identifiers in the code were renamed. The encoders have to
// write these bytes, and what is decoded from them has to encode to the same bytes. Messages that
// the platform sends are encoded by the simulators.
#include <gtest/gtest.h>

#include <fstream>
#include <iomanip>
#include <map>
#include <sstream>
#include <string>

#include "config/settings.h"
#include "config/tuning.h"
#include "simulators/messages.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

using NamedTexts = std::map<std::string, std::string>;

constexpr const char* kDataFolder = SUMACQUAY_TEST_DATA "/";

std::string hex(std::string_view bytes) {
  std::ostringstream out;
  out << std::hex << std::setfill('0');
  for (const unsigned char byte : bytes) out << std::setw(2) << static_cast<int>(byte);
  return out.str();
}

std::string bytes_from_hex(std::string_view hex) {
  constexpr int kBase = 16;
  std::string bytes;
  for (size_t at = 0; at < hex.size(); at += 2)
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(at, 2)), nullptr, kBase));
  return bytes;
}

std::string read_file(const std::string& name) {
  std::ifstream file(kDataFolder + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Parses lines that consist of a name and a value.
NamedTexts parse_lines(const std::string& text) {
  NamedTexts lines;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    const auto space = line.find(' ');
    lines[line.substr(0, space)] = space == std::string::npos ? "" : line.substr(space + 1);
  }
  return lines;
}

// ---------------------------------------------------------------- examples

JobSpec spec_with_every_field() {
  JobSpec spec;
  spec.id = "job-17";
  spec.job_class = "train";
  spec.team = "blue";
  spec.image = "image-3";
  spec.kind = JobKind::Gang;
  spec.priority = Priority::High;
  spec.tasks = 300;
  spec.request = {4, 0.5, 16.25};
  spec.image_gb = 7.5;
  spec.types = std::vector<std::string>{"small", "large"};
  spec.zone = "east";
  spec.one_zone = true;
  spec.spot = true;
  spec.estimate_s = 120;
  spec.checkpoint_interval_s = 30;
  spec.checkpoint_duration_s = 2.5;
  spec.deadline_s = 3600;
  spec.dependencies = {"job-3", "job-12"};
  return spec;
}

JobRecord job_with_every_field() {
  JobRecord record;
  record.spec = spec_with_every_field();
  record.state = JobState::Done;
  record.started = true;
  record.hosts = std::vector<std::string>{"m-1", "m-2"};
  record.submitted_ms = 1700000000123;
  record.ready_ms = 1700000001123;
  record.ended_ms = 1700000002123;
  for (const uint32_t task : {0u, 1u, 5u, 299u}) record.done.add(task);
  return record;
}

WorkerHeartbeat worker_heartbeat_with_every_field() {
  WorkerHeartbeat heartbeat;
  heartbeat.machine = "m-1";
  heartbeat.addr = "10.0.0.7:9000";
  heartbeat.type = "small";
  heartbeat.zone = "east";
  heartbeat.spot = true;
  heartbeat.agent_epoch = 3;
  heartbeat.sequence_number = 70000;
  heartbeat.fencing_token = (uint64_t{9} << 20) | 5;
  heartbeat.preemption_notice_s = 25.5;
  uint32_t task = 0;
  for (const auto state :
       {TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Checkpointing})
    heartbeat.tasks.push_back({{"job-1", task++}, 70000, state, ExitCause::None});
  for (const auto cause :
       {ExitCause::Done, ExitCause::Stopped, ExitCause::GangMemberGone, ExitCause::GangIncomplete,
        ExitCause::Error, ExitCause::InsufficientResources, ExitCause::Busy, ExitCause::Unknown})
    heartbeat.tasks.push_back({{"job-2", task++}, 3, TaskState::Exited, cause});
  return heartbeat;
}

wire::PeerHeartbeat heartbeat_with_every_field() {
  wire::PeerHeartbeat heartbeat;
  heartbeat.part = wire::PeerHeartbeatPart::SuccessorHints;
  heartbeat.fragment =
      wire::PeerHeartbeatFragment{7, 0, 3, wire::PeerHeartbeatPart::SuccessorHints};
  heartbeat.node = "n0";
  heartbeat.term = 70000;
  heartbeat.leading = true;
  heartbeat.store_reachable = true;
  heartbeat.delegation_status = {0x1122334455667788, 9, 1234567, 0.5};
  heartbeat.delegation = Delegation{9, 1234568, 2.25};
  heartbeat.job_progress = {{"job-1", 3, 400}};
  heartbeat.cached_images = {{"m-2", "image-1", 7.5}, {"m-1", "image-2", 1}};
  heartbeat.booting_machines = {
      {"m-3", "", "small", "east", true, ListedMachine::State::Booting, 1.5}};
  return heartbeat;
}

std::vector<Command> one_command_of_each_type() {
  return {{CommandType::Start, {"job-1", 0}, 70000, 0},
          {CommandType::Stop, {"job-2", 12}, 3, 2.5},
          {CommandType::Discard, {"job-3", 200}, 1, 0}};
}

std::vector<MachineType> machine_types() {
  MachineType type;
  type.name = "small";
  type.capacity = {8, 2, 32.5};
  type.cache_gb = 100;
  type.fetch_gb_per_s = 1.5;
  type.price = 3.25;
  type.spot_price = 1.25;
  type.boot_s = 40;
  type.zones = {"east", "west"};
  return {type};
}

std::vector<ListedMachine> listed_machines() {
  return {{"m-1", "", "small", "east", true, ListedMachine::State::Booting, 1.5},
          {"m-2", "10.0.0.7:9000", "large", "west", false, ListedMachine::State::Running, 40},
          {"m-3", "", "large", "west", false, ListedMachine::State::Failed, 80}};
}

std::vector<simulators::StoredChange> stored_items() {
  return {{"sq/leader", wire::encode_leader({"n0", 77, 9, 41}), 41, 12},
          {"sq/over/job-1", wire::encode_finished({JobState::Done, 3, 1700000002123}), 0, 13}};
}

std::vector<wire::Precondition> preconditions() {
  return {{"sq/term", 7}, {"sq/live/job-1", 0}};
}

std::vector<wire::Mutation> mutations() {
  const std::string value = wire::encode_finished({JobState::Done, 1});
  return {{"sq/over/job-1", value, 0}, {"sq/leader", value, 41}, {"sq/live/job-1", "", 0}};
}

/// All messages and records, encoded from the examples.
NamedTexts encoded_examples() {
  const std::string leader = wire::encode_leader({"n0", 0x1122334455667788, 9, 41});
  const std::string host = wire::encode_host({"m-1", "10.0.0.1:9000", "small", "east", true});
  const uint64_t fencing_token = (uint64_t{9} << 20) | 5;
  return {
      {"record.job", hex(wire::encode_job(job_with_every_field()))},
      {"record.finished", hex(wire::encode_finished({JobState::Done, 300, 1700000002123}))},
      {"record.host", hex(host)},
      {"record.leader", hex(leader)},
      {"heartbeat", hex(wire::encode_peer_heartbeat(heartbeat_with_every_field()))},
      {"worker.report",
       hex(simulators::worker_heartbeat_body(worker_heartbeat_with_every_field()))},
      {"worker.report_answer",
       hex(wire::heartbeat_response_body(fencing_token, one_command_of_each_type()))},
      {"worker.redirect", hex(wire::redirect_body("n0"))},
      {"worker.orders",
       hex(wire::worker_commands_body(fencing_token, 5, one_command_of_each_type()))},
      {"user.submission", hex(simulators::submission_body(spec_with_every_field()))},
      {"user.job_answer", hex(wire::job_state_body("job-1", wire::UserVisibleState::Cancelled))},
      {"user.job_status",
       hex(wire::job_status_body("job-1", wire::UserVisibleState::Running, 3, 400))},
      {"user.error", hex(wire::error_body("no such job"))},
      {"cloud.types", hex(simulators::machine_types_body(machine_types()))},
      {"cloud.machines", hex(simulators::machines_body(listed_machines(), true))},
      {"cloud.rent", hex(wire::scale_out_body("r-1", "small", "east", true, 3))},
      {"cloud.rented", hex(simulators::scale_out_response_body({"m-1", "m-2"}))},
      {"cloud.release", hex(wire::release_body({"m-1", "m-2"}))},
      {"store.item", hex(simulators::item_body(stored_items()[0]))},
      {"store.page", hex(simulators::items_body(stored_items(), true, 15))},
      {"store.changes", hex(simulators::changes_body(stored_items(), 15))},
      {"store.transaction", hex(wire::transaction_body(preconditions(), mutations()))},
      {"store.revision", hex(simulators::revision_body(70000))},
      {"store.conflict", hex(simulators::conflict_body({"sq/term"}, 70000))},
      {"store.grant", hex(wire::lease_request_body(2000))},
      {"store.lease", hex(simulators::lease_body(41))},
  };
}

// ---------------------------------------------------------------- round trip

simulators::StoredChange stored_change(const wire::StoreItem& item, uint64_t lease) {
  msgpack::sbuffer value;
  msgpack::pack(value, *item.value.object());
  return {item.key, {value.data(), value.size()}, lease, item.version};
}

std::vector<simulators::StoredChange> stored_changes(const wire::StorePage& page) {
  std::vector<simulators::StoredChange> out;
  for (const auto& item : page.items)
    out.push_back(stored_change(item, item.key == "sq/leader" ? 41 : 0));
  return out;
}

wire::View root_of(const std::shared_ptr<wire::Document>& document) {
  return document->root();
}

/// Decodes each golden message and encodes it again. Messages that can't be decoded are left out.
class RoundTrip {
 public:
  explicit RoundTrip(const NamedTexts& golden) : golden_(golden) {}

  NamedTexts all() {
    round_trip_records();
    round_trip_worker_messages();
    round_trip_user_messages();
    round_trip_cloud_messages();
    round_trip_store_pages();
    round_trip_store_answers();
    return std::move(encoded_);
  }

 private:
  std::string bytes(const std::string& name) const { return bytes_from_hex(golden_.at(name)); }
  std::shared_ptr<wire::Document> document(const std::string& name) const {
    return wire::Document::parse(bytes(name));
  }
  void put(const std::string& name, const std::string& encoded) { encoded_[name] = hex(encoded); }

  void round_trip_records() {
    if (const auto job = wire::decode_job(root_of(document("record.job"))))
      put("record.job", wire::encode_job(*job));
    if (const auto finished = wire::decode_finished(root_of(document("record.finished"))))
      put("record.finished", wire::encode_finished(*finished));
    if (const auto host = wire::decode_host(root_of(document("record.host"))))
      put("record.host", wire::encode_host(*host));
    if (const auto leader = wire::decode_leader(root_of(document("record.leader"))))
      put("record.leader", wire::encode_leader(*leader));
    if (const auto heartbeat = wire::decode_peer_heartbeat(bytes("heartbeat")))
      put("heartbeat", wire::encode_peer_heartbeat(*heartbeat));
  }

  void round_trip_worker_messages() {
    if (const auto heartbeat = wire::parse_worker_heartbeat(bytes("worker.report")))
      put("worker.report", simulators::worker_heartbeat_body(*heartbeat));
    if (const auto answer = simulators::parse_worker_commands(bytes("worker.report_answer")))
      put("worker.report_answer",
          wire::heartbeat_response_body(answer->fencing_token, answer->commands));
    put("worker.redirect",
        wire::redirect_body(simulators::parse_redirect(bytes("worker.redirect"))));
    if (const auto sent = simulators::parse_worker_commands(bytes("worker.orders")))
      put("worker.orders",
          wire::worker_commands_body(sent->fencing_token, sent->agent_epoch, sent->commands));
  }

  void round_trip_user_messages() {
    if (const auto job = wire::parse_job(bytes("user.submission")); job.spec)
      put("user.submission", simulators::submission_body(*job.spec));
    if (const auto status = simulators::parse_job_status(bytes("user.job_status")))
      put("user.job_status",
          wire::job_status_body("job-1", status->state, status->done, status->running));
    if (const auto status = simulators::parse_job_status(bytes("user.job_answer")))
      put("user.job_answer", wire::job_state_body("job-1", status->state));
    put("user.error", wire::error_body(root_of(document("user.error"))["error"].text_or("")));
  }

  void round_trip_cloud_messages() {
    if (const auto types = wire::parse_types(bytes("cloud.types")))
      put("cloud.types", simulators::machine_types_body(*types));
    if (const auto page = wire::parse_machines(bytes("cloud.machines")))
      put("cloud.machines", simulators::machines_body(page->machines, page->more));
    if (const auto scale_out = simulators::parse_scale_out_request(bytes("cloud.rent")))
      put("cloud.rent",
          wire::scale_out_body(scale_out->request_name, scale_out->type, scale_out->zone,
                               scale_out->spot, static_cast<int>(scale_out->count)));
    if (const auto machines = wire::parse_scale_out_response(bytes("cloud.rented")))
      put("cloud.rented", simulators::scale_out_response_body(*machines));
    if (const auto release = simulators::parse_release(bytes("cloud.release")))
      put("cloud.release", wire::release_body(*release));
  }

  void round_trip_store_pages() {
    if (const auto page = wire::parse_item(bytes("store.item")))
      put("store.item", simulators::item_body(stored_changes(*page)[0]));
    if (const auto page = wire::parse_page(bytes("store.page")))
      put("store.page", simulators::items_body(stored_changes(*page), page->more, page->revision));
    if (const auto page = wire::parse_changes(bytes("store.changes")))
      put("store.changes", simulators::changes_body(stored_changes(*page), page->revision));
  }

  void round_trip_store_answers() {
    if (const auto transaction = simulators::parse_transaction(bytes("store.transaction"))) {
      std::vector<wire::Mutation> mutations;
      for (const auto& change : transaction->mutations)
        mutations.push_back({change.key, change.value, change.lease});
      put("store.transaction", wire::transaction_body(transaction->preconditions, mutations));
    }
    if (const auto revision = wire::parse_revision(bytes("store.revision")))
      put("store.revision", simulators::revision_body(*revision));
    put("store.conflict",
        simulators::conflict_body(wire::parse_failed_keys(bytes("store.conflict")),
                                  wire::parse_revision(bytes("store.conflict")).value_or(0)));
    if (const auto seconds = simulators::parse_lease_duration_s(bytes("store.grant")))
      put("store.grant", wire::lease_request_body(static_cast<uint64_t>(*seconds * 1000)));
    if (const auto lease = wire::parse_lease_id(bytes("store.lease")))
      put("store.lease", simulators::lease_body(*lease));
  }

  const NamedTexts& golden_;
  NamedTexts encoded_;
};

NamedTexts round_trip(const NamedTexts& golden) {
  return RoundTrip(golden).all();
}

// ---------------------------------------------------------------- settings

std::string describe(const Settings& settings) {
  std::ostringstream out;
  out << "node " << settings.node << "\nzone " << settings.zone << "\nlisten "
      << settings.listen.to_string() << "\npeer_listen " << settings.peer_listen.to_string()
      << "\ncloud " << settings.cloud.to_string() << "\nstate " << settings.state.to_string()
      << "\n";
  for (const auto& peer : settings.peers)
    out << "peer." << peer.node << " " << peer.zone << " " << peer.addr.to_string() << "\n";
  for (const auto& zone : settings.zones) out << "zone." << zone << " \n";
  for (const auto& team : settings.teams)
    out << "team." << team.name << " " << team.cpus << " " << team.cpus_max << " " << team.gpus
        << " " << team.gpus_max << "\n";
  for (const auto& objective : settings.objectives)
    out << "objective." << objective.kind << " " << objective.job_class << " " << objective.within_s
        << " " << objective.share << "\n";
  out << "report_s " << settings.heartbeat_period_s << "\nlease_s " << settings.lease_s
      << "\ngang_wait_s " << settings.gang_wait_s << "\ngang_peer_s " << settings.gang_peer_s
      << "\ncancel_s " << settings.cancel_s << "\nstate_rps " << settings.state_rps
      << "\nstate_write_rps " << settings.state_write_rps << "\nstate_value_kb "
      << settings.state_value_kb << "\nstate_txn_ops " << settings.state_txn_ops << "\ncloud_rps "
      << settings.cloud_rps << "\nlist_lag_s " << settings.list_lag_s << "\nmax_sockets "
      << settings.max_sockets << "\n";
  return out.str();
}

std::string describe(const Tuning& tuning) {
  std::ostringstream out;
  out << "leader_lease " << tuning.leader_lease << "\nrenew " << tuning.renew << "\ngrace "
      << tuning.grace << "\nround " << tuning.round << "\nsuspect " << tuning.suspect << "\nidle "
      << tuning.idle << "\nrent " << tuning.rent << "\nheadroom " << tuning.headroom << "\nsockets "
      << tuning.sockets << "\nprompt_dispatch " << tuning.prompt_dispatch << "\nstart_tries "
      << tuning.start_tries << "\n";
  return out.str();
}

TEST(GoldenMessages, EncodersReproduceGoldenBytes) {
  EXPECT_EQ(encoded_examples(), parse_lines(read_file("golden_messages.txt")));
}

TEST(GoldenMessages, RoundTripWithoutLoss) {
  const NamedTexts golden = parse_lines(read_file("golden_messages.txt"));
  EXPECT_EQ(round_trip(golden), golden);
}

TEST(GoldenSettings, PlatformSettingsParseToGoldenValues) {
  const Settings settings = parse_settings(read_file("golden_settings.toml"), "settings");
  EXPECT_EQ(describe(settings), read_file("golden_settings.txt"));
}

TEST(GoldenSettings, TuningParsesToGoldenValues) {
  const Tuning tuning = parse_tuning(read_file("golden_tuning.conf"), "tuning");
  EXPECT_EQ(describe(tuning), read_file("golden_tuning.txt"));
}

}  // namespace
}  // namespace sumacquay
