#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

#include "config/settings.h"
#include "generators.h"
#include "peer/leader_hints.h"
#include "wire/messages.h"

namespace sumacquay {
namespace {

using testing::check_property;

const char* platform_settings = R"(
label = "n0"
area = "east"
listen = "127.0.0.1:8080"
back = "127.0.0.1:8081"
someday = 3
[[known]]
label = "n1"
area = "west"
peer_addr = "127.0.0.1:9081"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
zones = ["east", "west"]
[[params.teams]]
name = "blue"
gpus = 4.0
gpus_max = 8.0
[params.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 40.0
[params.state]
rps = 250.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 24
[params.cloud]
rps = 6.0
list_lag_s = 8.0
[params.quota]
fd_limit = 600
)";

std::string settings_error(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  if (at == std::string::npos) return "no such text";
  text.replace(at, from.size(), to);
  try {
    parse_settings(text, "f.toml");
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

TEST(Settings, ParsesPlatformSettingsAndIgnoresUnknownFields) {
  const Settings settings = parse_settings(platform_settings, "f.toml");
  EXPECT_EQ(settings.node, "n0");
  EXPECT_EQ(settings.listen.port, 8080);
  ASSERT_EQ(settings.peers.size(), 1u);
  EXPECT_EQ(settings.peers[0].addr.port, 9081);
  EXPECT_EQ(settings.team("blue")->gpus_max, 8);
  EXPECT_EQ(settings.team("red"), nullptr);
}

TEST(Settings, ErrorNamesTheField) {
  EXPECT_NE(settings_error(platform_settings, "lease_s = 10.0", "lease_s = \"x\"")
                .find("params.workers.lease_s"),
            std::string::npos);
  EXPECT_NE(settings_error(platform_settings, "txn_ops = 24", "txn_ops = -1")
                .find("params.state.txn_ops"),
            std::string::npos);
  EXPECT_NE(settings_error(platform_settings, "127.0.0.1:8081", "here").find("back"),
            std::string::npos);
  EXPECT_NE(settings_error(platform_settings, "name = \"blue\"", "").find("params.teams[0].name"),
            std::string::npos);
  EXPECT_NE(settings_error(platform_settings, "[services]", "[services").find("line"),
            std::string::npos);
}

/// The platform's settings with a table of limits that will apply later (`params.state.next`).
std::string with_next_limits(const std::string& lines) {
  const std::string text = platform_settings;
  const std::string next_table = "[params.cloud]";
  return std::string(text).insert(text.find(next_table), "[params.state.next]\n" + lines + "\n");
}

TEST(Settings, StricterOfCurrentAndNextLimitsApplies) {
  const Settings current = parse_settings(platform_settings, "f.toml");
  EXPECT_EQ(current.state_txn_ops, 24);
  EXPECT_EQ(current.max_preconditions(), 96u);
  EXPECT_EQ(current.state_value_bytes(), 8192u);
  const Settings lower =
      parse_settings(with_next_limits("value_kb = 2.0\ntxn_ops = 8\nwrite_rps = 21.0"), "f.toml");
  EXPECT_DOUBLE_EQ(lower.state_value_kb, 2);
  EXPECT_EQ(lower.state_value_bytes(), 2048u);
  EXPECT_EQ(lower.state_txn_ops, 8);
  EXPECT_EQ(lower.max_preconditions(), 32u);
  EXPECT_DOUBLE_EQ(lower.state_write_rps, 21);
  EXPECT_DOUBLE_EQ(lower.state_rps, 250) << "the next limits do not change it";
  const Settings mixed = parse_settings(with_next_limits("rps = 99\ntxn_ops = 50"), "f.toml");
  EXPECT_DOUBLE_EQ(mixed.state_rps, 99);
  EXPECT_EQ(mixed.state_txn_ops, 24) << "a limit that is raised later does not apply yet";
  EXPECT_DOUBLE_EQ(mixed.state_value_kb, 8);
}

TEST(Settings, ErrorInNextLimitsNamesTheField) {
  const std::string text = with_next_limits("value_kb = 2.0\ntxn_ops = 8\nwrite_rps = 21.0");
  for (const auto& [from, to, field] : {std::tuple{"txn_ops = 8", "txn_ops = 1", "txn_ops"},
                                        {"write_rps = 21.0", "write_rps = \"x\"", "write_rps"},
                                        {"write_rps = 21.0", "rps = nan", "rps"},
                                        {"value_kb = 2.0", "value_kb = 0.0", "value_kb"}}) {
    const std::string error = settings_error(text, from, to);
    EXPECT_NE(error.find(std::string("params.state.next.") + field), std::string::npos) << error;
    EXPECT_EQ(error.find('\n'), std::string::npos);
  }
  const std::string no_table =
      settings_error(platform_settings, "txn_ops = 24", "txn_ops = 24\nnext = 3");
  EXPECT_NE(no_table.find("params.state.next"), std::string::npos) << no_table;
}

TEST(Settings, ParsesTuningAndRejectsInvalidFiles) {
  EXPECT_EQ(parse_tuning("# none\n", "t.hcl").start_tries, 3);
  const Tuning tuning = parse_tuning("leader_lease = 0.25\nstart_tries = 5\n", "t.hcl");
  EXPECT_DOUBLE_EQ(tuning.leader_lease, 0.25);
  EXPECT_EQ(tuning.start_tries, 5);
  EXPECT_THROW(parse_tuning("leader_lease = 9\n", "t.hcl"), SettingsError);
  EXPECT_THROW(parse_tuning("lease = 1\n", "t.hcl"), SettingsError);
  EXPECT_THROW(parse_tuning("grace = }\n", "t.hcl"), SettingsError);
}

TEST(JobRecordCodec, RoundTrips) {
  EXPECT_TRUE(check_property("job records round trip", [] {
    JobRecord record;
    record.spec = *testing::arbitrary_job_spec();
    record.state = *rc::gen::element(JobState::Pending, JobState::Cancelled, JobState::Done);
    record.started = *rc::gen::arbitrary<bool>();
    record.submitted_ms = static_cast<uint64_t>(*rc::gen::inRange(0, 1 << 30));
    record.ready_ms = static_cast<uint64_t>(*rc::gen::inRange(0, 1 << 30));
    record.ended_ms = static_cast<uint64_t>(*rc::gen::inRange(0, 1 << 30));
    for (int task :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange<int>(0, record.spec.tasks)))
      record.done.add(static_cast<uint32_t>(task));
    const auto document = wire::Document::parse(wire::encode_job(record));
    RC_ASSERT(document != nullptr);
    RC_ASSERT(wire::decode_job(document->root()) == record);
  }));
}

TEST(JobSubmissionCodec, RoundTripsSpec) {
  EXPECT_TRUE(check_property("submissions round trip", [] {
    JobRecord record;
    record.spec = *testing::arbitrary_job_spec();
    // Stored and submitted job descriptions are encoded in the same way.
    const auto document = wire::Document::parse(wire::encode_job(record));
    const msgpack::object_handle copy = [&] {
      msgpack::sbuffer buffer;
      const std::string bytes = wire::encode_job(record);
      const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
      msgpack::pack(buffer, unpacked.get().via.map.ptr[0].val);
      return msgpack::unpack(buffer.data(), buffer.size());
    }();
    msgpack::sbuffer body;
    msgpack::pack(body, copy.get());
    const auto parsed = wire::parse_job({body.data(), body.size()});
    RC_ASSERT(parsed.spec.has_value());
    RC_ASSERT(*parsed.spec == record.spec);
  }));
}

TEST(JobSubmissionCodec, RejectsMalformedBytesSafely) {
  EXPECT_TRUE(check_property(
      "malformed bytes",
      [] {
        const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        wire::parse_job(bytes);
        wire::parse_worker_heartbeat(bytes);
        wire::parse_types(bytes);
        wire::parse_machines(bytes);
        wire::parse_changes(bytes);
        wire::decode_peer_heartbeat(bytes);
      },
      2000));
  EXPECT_TRUE(
      check_property("a truncated record is rejected and a changed one is decoded safely", [] {
        JobRecord record;
        record.spec = *testing::arbitrary_job_spec();
        std::string bytes = wire::encode_job(record);
        const auto cut = *rc::gen::inRange<size_t>(0, bytes.size());
        RC_ASSERT(wire::Document::parse(std::string_view(bytes).substr(0, cut)) == nullptr);
        bytes[cut] = *rc::gen::arbitrary<char>();
        if (const auto document = wire::Document::parse(bytes)) wire::decode_job(document->root());
      }));
  EXPECT_EQ(wire::Document::parse(std::string(5000, '\x91')), nullptr) << "deep nesting";
  EXPECT_EQ(wire::Document::parse("\xdd\xff\xff\xff\xff"), nullptr)
      << "a list header with a huge size";
  EXPECT_EQ(wire::Document::parse("\xdf\xff\xff\xff\xff"), nullptr)
      << "a map header with a huge size";
}

/// A valid submission with the additional field `awaits`, whose value `pack` writes.
template <class Pack>
wire::ParsedJob submission_with_dependencies(Pack&& pack) {
  JobRecord record;
  record.spec.id = "job-1";
  const std::string bytes = wire::encode_job(record);
  const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
  const msgpack::object spec = unpacked.get().via.map.ptr[0].val;
  msgpack::sbuffer out;
  msgpack::packer<msgpack::sbuffer> packer(out);
  packer.pack_map(spec.via.map.size + 1);
  for (uint32_t i = 0; i < spec.via.map.size; ++i)
    packer.pack(spec.via.map.ptr[i].key).pack(spec.via.map.ptr[i].val);
  packer.pack("awaits");
  pack(packer);
  return wire::parse_job({out.data(), out.size()});
}

TEST(JobSubmissionCodec, DependenciesAreDeduplicated) {
  using Ids = std::vector<std::string>;
  const auto parse = [](const auto& value) {
    return submission_with_dependencies([&](auto& packer) { packer.pack(value); });
  };
  EXPECT_EQ(parse(Ids{"job-7", "job-3", "job-7"}).spec->dependencies, (Ids{"job-7", "job-3"}));
  EXPECT_EQ(parse(Ids{}).spec->dependencies, Ids{});
  const auto null = submission_with_dependencies([](auto& packer) { packer.pack_nil(); });
  EXPECT_EQ(null.spec->dependencies, Ids{});
}

TEST(JobSubmissionCodec, RejectsDependenciesThatAreNotAListOfJobIds) {
  using Ids = std::vector<std::string>;
  const auto is_rejected = [](const auto& value) {
    const auto parsed = submission_with_dependencies([&](auto& packer) { packer.pack(value); });
    return !parsed.spec && parsed.error.find("awaits") != std::string::npos && parsed.id == "job-1";
  };
  EXPECT_TRUE(is_rejected("job-7"));
  EXPECT_TRUE(is_rejected(7));
  EXPECT_TRUE(is_rejected(false));
  EXPECT_TRUE(is_rejected(std::vector<int>{7}));
  EXPECT_TRUE(is_rejected(std::vector<Ids>{{"job-7"}}));
  EXPECT_TRUE(is_rejected(std::map<std::string, bool>{{"job-7", true}}));
  for (const std::string id : {"", "job-", "job-x", "job-7/0", "7", "job-7 "})
    EXPECT_TRUE(is_rejected(Ids{"job-7", id})) << id;
  EXPECT_TRUE(is_rejected(Ids{"job-" + std::string(100, '7')})) << "a job id that is too long";
}

TEST(JobSubmissionCodec, ErrorNamesTheInvalidField) {
  auto parse_with_field = [](const char* field, auto value) {
    JobRecord record;
    record.spec = JobSpec{};
    record.spec.id = "job-1";
    const std::string bytes = wire::encode_job(record);
    const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
    msgpack::object spec = unpacked.get().via.map.ptr[0].val;
    msgpack::sbuffer out;
    msgpack::packer<msgpack::sbuffer> packer(out);
    packer.pack_map(spec.via.map.size);
    for (uint32_t i = 0; i < spec.via.map.size; ++i) {
      const auto& entry = spec.via.map.ptr[i];
      packer.pack(entry.key);
      if (entry.key.as<std::string>() == field)
        packer.pack(value);
      else
        packer.pack(entry.val);
    }
    return wire::parse_job({out.data(), out.size()});
  };
  EXPECT_TRUE(parse_with_field("none", 0).spec.has_value());
  EXPECT_NE(parse_with_field("vcpus", -1.0).error.find("vcpus"), std::string::npos);
  EXPECT_NE(parse_with_field("vcpus", std::nan("")).error.find("vcpus"), std::string::npos);
  EXPECT_NE(parse_with_field("cards", 1e300).error.find("cards"), std::string::npos);
  EXPECT_NE(parse_with_field("threads", 0).error.find("threads"), std::string::npos);
  EXPECT_NE(parse_with_field("threads", 100001).error.find("threads"), std::string::npos);
  EXPECT_NE(parse_with_field("threads", "3").error.find("threads"), std::string::npos);
  EXPECT_NE(parse_with_field("urgency", "extreme").error.find("urgency"), std::string::npos);
  EXPECT_NE(parse_with_field("id", "job-1/x").error.find("id"), std::string::npos);
  EXPECT_NE(parse_with_field("together", 1).error.find("together"), std::string::npos);
}

TEST(PeerHeartbeatCodec, RoundTrips) {
  EXPECT_TRUE(check_property("peer heartbeats round trip", [] {
    wire::PeerHeartbeat sent;
    sent.node = *testing::arbitrary_name();
    sent.term = static_cast<uint64_t>(*rc::gen::inRange(0, 1 << 30));
    sent.leading = *rc::gen::arbitrary<bool>();
    sent.store_reachable = *rc::gen::arbitrary<bool>();
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
      sent.job_progress.push_back({*testing::arbitrary_name(), 3, static_cast<uint32_t>(i)});
      sent.cached_images.push_back(
          {*testing::arbitrary_name(), *testing::arbitrary_name(), i * 0.5});
      sent.booting_machines.push_back({*testing::arbitrary_name(), "", *testing::arbitrary_name(),
                                       *testing::arbitrary_name(), i % 2 == 0,
                                       ListedMachine::State::Booting, i * 1.5});
    }
    const auto received = wire::decode_peer_heartbeat(wire::encode_peer_heartbeat(sent));
    RC_ASSERT(received.has_value());
    RC_ASSERT(wire::encode_peer_heartbeat(*received) == wire::encode_peer_heartbeat(sent));
    RC_ASSERT(received->term == sent.term && received->leading == sent.leading &&
              received->store_reachable == sent.store_reachable);
  }));
}

/// A peer heartbeat of a large fleet's leader: the counts of `size` jobs, or hints on `size` images
/// and booting machines.
wire::PeerHeartbeat large_peer_heartbeat(wire::PeerHeartbeatPart part, int size,
                                         size_t name_bytes) {
  wire::PeerHeartbeat heartbeat;
  heartbeat.node = "n";
  heartbeat.term = 77;
  heartbeat.leading = true;
  heartbeat.part = part;
  auto entry_name = [&](char kind, int i) {
    return std::string(name_bytes, kind) + std::to_string(100000 + i);
  };
  for (int i = 0; i < size; ++i) {
    if (part == wire::PeerHeartbeatPart::JobProgress) {
      heartbeat.job_progress.push_back({entry_name('j', i), 100000, 100000});
      continue;
    }
    heartbeat.cached_images.push_back({entry_name('m', i), entry_name('i', i), 7.5});
    heartbeat.booting_machines.push_back(
        {entry_name('m', i), "", "type", "zone", true, ListedMachine::State::Booting, 1.5});
  }
  return heartbeat;
}

constexpr size_t kBodyLimit = size_t{64} * 1024;

TEST(PeerHeartbeatCodec, HeartbeatWithinBodyLimitIsNotFragmented) {
  const auto heartbeat = large_peer_heartbeat(wire::PeerHeartbeatPart::JobProgress, 2000, 4);
  const auto bodies = wire::encode_peer_heartbeat_fragments(heartbeat, 1, kBodyLimit);
  ASSERT_EQ(bodies.size(), 1u);
  EXPECT_EQ(bodies[0], wire::encode_peer_heartbeat(heartbeat));
}

// Guards against leaving out what exceeds the limit on bodies: the last jobs were then shown as
// pending while they ran, and the next leader requested machines again that were already booting.
TEST(PeerHeartbeatCodec, FragmentsFitBodyLimitAndCarryAllEntries) {
  for (const auto part :
       {wire::PeerHeartbeatPart::JobProgress, wire::PeerHeartbeatPart::SuccessorHints}) {
    for (const size_t name_bytes : {size_t{4}, size_t{200}}) {
      const auto whole = large_peer_heartbeat(part, 6300, name_bytes);
      const auto bodies = wire::encode_peer_heartbeat_fragments(whole, 9, kBodyLimit);
      LeaderHints hints;
      std::vector<size_t> order(bodies.size());
      std::iota(order.begin(), order.end(), size_t{0});
      std::reverse(order.begin(), order.end());  // the order across connections is arbitrary
      for (const size_t index : order) {
        ASSERT_LE(bodies[index].size(), kBodyLimit);
        const auto fragment = wire::decode_peer_heartbeat(bodies[index]);
        ASSERT_TRUE(fragment.has_value());
        EXPECT_EQ(fragment->term, 77u);
        EXPECT_TRUE(fragment->leading);
        const bool first = index == 0;
        EXPECT_EQ(fragment->part, first ? part : wire::PeerHeartbeatPart::StatusOnly)
            << "a version without fragments applies only the first one";
        hints.apply(*fragment);
      }
      if (part == wire::PeerHeartbeatPart::JobProgress) {
        for (const auto& count : whole.job_progress)
          ASSERT_EQ(hints.job_progress(count.job).running, count.running);
        continue;
      }
      ASSERT_EQ(hints.images().size(), whole.cached_images.size());
      for (size_t i = 0; i < whole.cached_images.size(); ++i)
        ASSERT_EQ(hints.images()[i].machine, whole.cached_images[i].machine);
      EXPECT_EQ(hints.booting().size(), whole.booting_machines.size());
    }
  }
}

std::vector<wire::PeerHeartbeat> fragments_of(const wire::PeerHeartbeat& whole, uint64_t batch) {
  std::vector<wire::PeerHeartbeat> fragments;
  for (const auto& body : wire::encode_peer_heartbeat_fragments(whole, batch, kBodyLimit))
    fragments.push_back(*wire::decode_peer_heartbeat(body));
  return fragments;
}

TEST(PeerHeartbeatCodec, CountsChangeOnlyWithACompleteOrSupersededBatch) {
  const auto whole = large_peer_heartbeat(wire::PeerHeartbeatPart::JobProgress, 6300, 4);
  const auto first = fragments_of(whole, 1);
  const auto second = fragments_of(whole, 2);
  ASSERT_GT(first.size(), 2u);
  const std::string job_of_first_fragment = whole.job_progress.front().job;
  const std::string job_of_last_fragment = whole.job_progress.back().job;
  LeaderHints hints;
  for (const auto& fragment : first) hints.apply(fragment);
  hints.apply(second[0]);
  EXPECT_EQ(hints.job_progress(job_of_last_fragment).running, 100000u);
  hints.apply(first.back());
  hints.apply(second[0]);
  EXPECT_EQ(hints.job_progress(job_of_last_fragment).running, 100000u)
      << "repeated fragments of an older batch are ignored";
  // The rest of the second batch is lost: its first fragment is applied when the third batch
  // begins.
  const auto third = fragments_of(whole, 3);
  hints.apply(third[1]);
  EXPECT_EQ(hints.job_progress(job_of_last_fragment).running, 0u);
  EXPECT_EQ(hints.job_progress(job_of_first_fragment).running, 100000u);
  for (const auto& fragment : third) hints.apply(fragment);
  EXPECT_EQ(hints.job_progress(job_of_last_fragment).running, 100000u);
  hints.apply(third.back());
  hints.apply(fragments_of(whole, 4)[0]);
  EXPECT_EQ(hints.job_progress(job_of_first_fragment).running, 100000u)
      << "a repeated fragment of an applied batch is ignored";
  auto heartbeat_of_next_leader = whole;
  heartbeat_of_next_leader.term = 78;
  for (const auto& fragment : fragments_of(heartbeat_of_next_leader, 1)) hints.apply(fragment);
  EXPECT_EQ(hints.job_progress(job_of_last_fragment).running, 100000u)
      << "the next leader's process numbers its batches from the start";
}

TEST(PeerHeartbeatCodec, IgnoresMalformedFragments) {
  auto hostile = large_peer_heartbeat(wire::PeerHeartbeatPart::JobProgress, 3, 4);
  LeaderHints hints;
  constexpr uint64_t kHugeCount = uint64_t{1} << 60;
  hostile.part = wire::PeerHeartbeatPart::StatusOnly;
  hostile.fragment =
      wire::PeerHeartbeatFragment{1, 5, kHugeCount, wire::PeerHeartbeatPart::JobProgress};
  hints.apply(*wire::decode_peer_heartbeat(wire::encode_peer_heartbeat(hostile)));
  hostile.fragment = wire::PeerHeartbeatFragment{1, 7, 3, wire::PeerHeartbeatPart::JobProgress};
  EXPECT_FALSE(wire::decode_peer_heartbeat(wire::encode_peer_heartbeat(hostile))->fragment);
  hostile.fragment = wire::PeerHeartbeatFragment{1, 0, 1, wire::PeerHeartbeatPart::StatusOnly};
  hints.apply(*wire::decode_peer_heartbeat(wire::encode_peer_heartbeat(hostile)));
  for (size_t index = 0; index <= kMaxPeerHeartbeatFragments; ++index) {
    hostile.fragment = wire::PeerHeartbeatFragment{2, index, kMaxPeerHeartbeatFragments + 1,
                                                   wire::PeerHeartbeatPart::JobProgress};
    hints.apply(hostile);
  }
  EXPECT_EQ(hints.job_progress(hostile.job_progress[0].job).running, 0u)
      << "a batch with more fragments than are kept";
}

TEST(TaskRangeSet, AgreesWithSetOfNumbers) {
  EXPECT_TRUE(check_property("ranges agree with a set", [] {
    TaskRangeSet ranges;
    std::set<uint32_t> model;
    for (int n : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60))) {
      const auto number = static_cast<uint32_t>(n);
      RC_ASSERT(ranges.add(number) == model.insert(number).second);
    }
    RC_ASSERT(ranges.count() == model.size());
    for (uint32_t n = 0; n < 62; ++n) {
      RC_ASSERT(ranges.contains(n) == model.contains(n));
      uint32_t next = n;
      while (model.contains(next)) ++next;
      RC_ASSERT(ranges.next_missing(n) == next);
    }
    TaskRangeSet decoded;
    RC_ASSERT(TaskRangeSet::from_lengths(ranges.to_lengths(), 60, decoded));
    RC_ASSERT(decoded == ranges && decoded.count() == ranges.count());
  }));
  TaskRangeSet decoded;
  EXPECT_FALSE(TaskRangeSet::from_lengths({0, 61}, 60, decoded));
  EXPECT_FALSE(TaskRangeSet::from_lengths({0, 1, 0, 1}, 60, decoded)) << "adjacent ranges";
  EXPECT_FALSE(TaskRangeSet::from_lengths({5}, 60, decoded));
}

TEST(JobFeasibility, DetectsJobsThatCanNeverRun) {
  MachineType type;
  type.name = "g";
  type.capacity = {8, 2, 32};
  type.zones = {"east"};
  TeamSettings team;
  team.gpus_max = 4;
  JobSpec spec;
  spec.request = {4, 1, 16};
  spec.tasks = 100;
  EXPECT_EQ(unschedulable_reason(spec, {type}, &team), "")
      << "an array can run if one of its tasks fits";
  spec.kind = JobKind::Gang;
  EXPECT_NE(unschedulable_reason(spec, {type}, &team), "")
      << "a gang can run only if all its tasks fit";
  spec.tasks = 4;
  EXPECT_EQ(unschedulable_reason(spec, {type}, &team), "");
  EXPECT_NE(unschedulable_reason(spec, {type}, nullptr), "");
  spec.zone = "west";
  EXPECT_NE(unschedulable_reason(spec, {type}, &team), "");
  spec.zone.reset();
  spec.types = std::vector<std::string>{"h"};
  EXPECT_NE(unschedulable_reason(spec, {type}, &team), "");
}

}  // namespace
}  // namespace sumacquay
