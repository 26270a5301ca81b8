#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"

// The output of every encoder is fixed to the byte: during an upgrade, controllers of two versions
// read each other's records and heartbeats, and the platform reads all other messages.
namespace sumacquay {
namespace {

std::string hex(const std::string& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  for (const unsigned char byte : bytes) {
    digits += kDigits[byte >> 4];
    digits += kDigits[byte & 15];
  }
  return digits;
}

JobRecord job_with_every_field() {
  JobRecord record;
  record.spec.id = "job-17";
  record.spec.job_class = "train";
  record.spec.team = "blue";
  record.spec.image = "image-3";
  record.spec.kind = JobKind::Gang;
  record.spec.priority = Priority::Low;
  record.spec.tasks = 300;
  record.spec.request = {4, 0.5, 16.25};
  record.spec.image_gb = 7.5;
  record.spec.types = std::vector<std::string>{"small", "large"};
  record.spec.zone = "east";
  record.spec.one_zone = true;
  record.spec.spot = true;
  record.spec.estimate_s = 120;
  record.spec.checkpoint_interval_s = 30;
  record.spec.checkpoint_duration_s = 2.5;
  record.spec.deadline_s = 3600;
  record.state = JobState::Cancelled;
  record.started = true;
  record.hosts = std::vector<std::string>{"m-1", "m-2"};
  record.submitted_ms = 1700000000123;
  for (const uint32_t task : {0u, 1u, 5u, 299u}) record.done.add(task);
  return record;
}

JobRecord job_without_optional_fields() {
  JobRecord record;
  record.spec.id = "job-1";
  record.spec.kind = JobKind::Service;
  record.spec.priority = Priority::Production;
  record.spec.spread = true;
  record.state = JobState::Pending;
  return record;
}

wire::PeerHeartbeat heartbeat_with_every_field() {
  wire::PeerHeartbeat heartbeat;
  heartbeat.part = wire::PeerHeartbeatPart::SuccessorHints;
  heartbeat.node = "n0";
  heartbeat.term = 70000;
  heartbeat.leading = true;
  heartbeat.store_reachable = true;
  heartbeat.delegation_status = {0x1122334455667788, 9, 1234567, 0.5};
  heartbeat.delegation = Delegation{9, 1234568, 2.25};
  heartbeat.job_progress = {{"job-1", 3, 400}, {"job-2", 70000, 0}};
  heartbeat.cached_images = {
      {"m-2", "image-1", 7.5}, {"m-1", "image-2", 1}, {"m-1", "image-1", 7.5}};
  heartbeat.booting_machines = {
      {"m-3", "", "small", "east", true, ListedMachine::State::Booting, 1.5},
      {"m-4", "", "large", "west", false, ListedMachine::State::Booting, 40},
  };
  return heartbeat;
}

std::vector<Command> one_command_of_each_type() {
  Command start;
  start.type = CommandType::Start;
  start.key = {"job-1", 0};
  start.attempt = 70000;
  Command stop;
  stop.type = CommandType::Stop;
  stop.key = {"job-2", 12};
  stop.attempt = 3;
  stop.grace_s = 2.5;
  Command discard;
  discard.type = CommandType::Discard;
  discard.key = {"job-3", 200};
  discard.attempt = 1;
  return {start, stop, discard};
}

TEST(WireEncoding, RecordBytesAreUnchanged) {
  EXPECT_EQ(hex(wire::encode_job(job_with_every_field())),
            "86a473706563de0014a26964a66a6f622d3137a77061747465726ea5747261696ea56775696c64a4"
            "626c7565a57765617665a8656e73656d626c65a7757267656e6379ab626573745f6566666f7274a7"
            "74687265616473cd012ca5766370757304a56361726473cb3fe0000000000000a672616d5f6762cb"
            "4030400000000000a4626f6c74a7696d6167652d33a8696d6167655f6762cb401e000000000000a6"
            "6672616d657392a5736d616c6ca56c61726765a468616c6ca465617374a8746f676574686572c3a7"
            "73636174746572c2a8626f72726f776564c3a87265636b6f6e5f7378a66d61726b5f731ea673746f"
            "775f73cb4004000000000000a56475655f73cd0e10a57374617465a963616e63656c6c6564a77374"
            "6172746564c3a5686f73747392a36d2d31a36d2d32a561745f6d73cf0000018bcfe5687ba4646f6e"
            "659600020301cd012501");
  EXPECT_EQ(hex(wire::encode_job(job_without_optional_fields())),
            "85a473706563de0011a26964a56a6f622d31a77061747465726ea0a56775696c64a0a57765617665"
            "a773657276696365a7757267656e6379aa70726f64756374696f6ea77468726561647301a5766370"
            "757300a5636172647300a672616d5f676200a4626f6c74a0a8696d6167655f676200a8746f676574"
            "686572c2a773636174746572c3a8626f72726f776564c2a87265636b6f6e5f7300a66d61726b5f73"
            "00a673746f775f7300a57374617465a770656e64696e67a773746172746564c2a561745f6d7300a4"
            "646f6e6590");
  EXPECT_EQ(hex(wire::encode_finished({JobState::Done, 300})),
            "82a57374617465a4646f6e65a4646f6e65cd012c");
  EXPECT_EQ(hex(wire::encode_finished({JobState::Cancelled, 0})),
            "82a57374617465a963616e63656c6c6564a4646f6e6500");
  EXPECT_EQ(hex(wire::encode_host({"m-1", "10.0.0.1:9000", "small", "east", true})),
            "85a26964a36d2d31a461646472ad31302e302e302e313a39303030a474797065a5736d616c6ca47a"
            "6f6e65a465617374a473706f74c3");
  EXPECT_EQ(hex(wire::encode_leader({"n0", 0x1122334455667788, 9, 41})),
            "84a46e6f6465a26e30a56e6f6e6365cf1122334455667788a47465726d09a56c6561736529");
}

TEST(WireEncoding, PeerHeartbeatBytesAreUnchanged) {
  EXPECT_EQ(hex(wire::encode_peer_heartbeat(heartbeat_with_every_field())),
            "8ba46e6f6465a26e30a47465726dce00011170a76c656164696e67c3a6736572766564c3a4706172"
            "7402a673746174757394cf112233445566778809ce0012d687cb3fe0000000000000aa64656c6567"
            "6174696f6e9309ce0012d688cb4002000000000000a6636f756e74739293a56a6f622d3103cd0190"
            "93a56a6f622d32ce0001117000a6696d616765739292a7696d6167652d320192a7696d6167652d31"
            "cb401e000000000000a468656c649293a36d2d31000192a36d2d3201a7626f6f74696e679295a36d"
            "2d33a5736d616c6ca465617374c3cb3ff800000000000095a36d2d34a56c61726765a477657374c2"
            "28");
  EXPECT_EQ(hex(wire::encode_peer_heartbeat({})),
            "8aa46e6f6465a0a47465726d00a76c656164696e67c2a6736572766564c2a47061727400a6737461"
            "74757393000000a6636f756e747390a6696d6167657390a468656c6490a7626f6f74696e6790");
}

TEST(WireEncoding, UserAnswerBytesAreUnchanged) {
  EXPECT_EQ(hex(wire::job_state_body("job-1", wire::UserVisibleState::Pending)),
            "82a26964a56a6f622d31a57374616765a770656e64696e67");
  EXPECT_EQ(hex(wire::job_status_body("job-1", wire::UserVisibleState::Running, 3, 400)),
            "84a26964a56a6f622d31a57374616765a772756e6e696e67a4646f6e6503a772756e6e696e67cd01"
            "90");
  EXPECT_EQ(hex(wire::error_body("no such job")), "81a56572726f72ab6e6f2073756368206a6f62");
}

TEST(WireEncoding, WorkerMessageBytesAreUnchanged) {
  EXPECT_EQ(hex(wire::heartbeat_response_body(70000, one_command_of_each_type())),
            "82a56261746f6ece00011170a66f72646572739383a476657262a57374617274a6746872656164a7"
            "6a6f622d312f30a3747279ce0001117084a476657262a46b696c6ca6746872656164a86a6f622d32"
            "2f3132a374727903a8656173696e675f73cb400400000000000083a476657262a5636c656172a674"
            "6872656164a96a6f622d332f323030a374727901");
  EXPECT_EQ(hex(wire::worker_commands_body(70000, 5, one_command_of_each_type())),
            "83a56261746f6ece00011170a5736869667405a66f72646572739383a476657262a57374617274a6"
            "746872656164a76a6f622d312f30a3747279ce0001117084a476657262a46b696c6ca67468726561"
            "64a86a6f622d322f3132a374727903a8656173696e675f73cb400400000000000083a476657262a5"
            "636c656172a6746872656164a96a6f622d332f323030a374727901");
  EXPECT_EQ(hex(wire::redirect_body("n0")), "81a7666f72656d616ea26e30");
  EXPECT_EQ(hex(wire::redirect_body("")), "80");
}

TEST(WireEncoding, CloudRequestsAreUnchanged) {
  EXPECT_EQ(hex(wire::scale_out_body("r-1", "small", "east", true, 3)),
            "85a468697265a3722d31a56672616d65a5736d616c6ca468616c6ca465617374a8626f72726f7765"
            "64c3a8686f775f6d616e7903");
  EXPECT_EQ(hex(wire::release_body({"m-1", "m-2"})), "81a56c6f6f6d7392a36d2d31a36d2d32");
  EXPECT_EQ(wire::machines_path("", 500), "/hosts?most=500");
  EXPECT_EQ(wire::machines_path("m-1", 500), "/hosts?most=500&after=m-1");
}

TEST(WireEncoding, KeyValueStoreRequestsAreUnchanged) {
  const std::string value = wire::encode_finished({JobState::Done, 1});
  EXPECT_EQ(hex(wire::transaction_body(
                {{"sq/term", 7}, {"sq/live/job-1", 0}},
                {{"sq/over/job-1", value, 0}, {"sq/leader", value, 41}, {"sq/live/job-1", "", 0}})),
            "82a66775617264739282a470617468a773712f7465726da57374616d700782a470617468ad73712f"
            "6c6976652f6a6f622d31a57374616d7000a56170706c799382a3736574ad73712f6f7665722f6a6f"
            "622d31a17682a57374617465a4646f6e65a4646f6e650183a3736574a973712f6c6561646572a176"
            "82a57374617465a4646f6e65a4646f6e6501a7636861727465722981a664656c657465ad73712f6c"
            "6976652f6a6f622d31");
  EXPECT_EQ(hex(wire::lease_request_body(2000)), "81a76c6966655f6d73cd07d0");
  EXPECT_EQ(wire::lease_path(41), "/grants/41");
  EXPECT_EQ(wire::lease_renewal_path(41), "/grants/41/renew");
  EXPECT_EQ(wire::item_path("sq/leader"), "/store/sq/leader");
  EXPECT_EQ(wire::page_path("sq/live/", "", 200), "/store?under=sq/live/&most=200");
  EXPECT_EQ(wire::page_path("sq/live/", "sq/live/job-1", 200),
            "/store?under=sq/live/&most=200&after=sq/live/job-1");
  EXPECT_EQ(wire::changes_path("sq/", 12, 10000), "/changes?under=sq/&after=12&block_ms=10000");
}

/// Records and heartbeats that another version has written are decoded without loss.
TEST(WireEncoding, RecordsAndHeartbeatsRoundTrip) {
  const auto job = wire::Document::parse(wire::encode_job(job_with_every_field()));
  EXPECT_EQ(wire::decode_job(job->root()), job_with_every_field());
  const HostRecord host{"m-1", "10.0.0.1:9000", "small", "east", true};
  EXPECT_EQ(wire::decode_host(wire::Document::parse(wire::encode_host(host))->root()), host);
  const auto leader = wire::Document::parse(wire::encode_leader({"n0", 77, 9, 41}));
  const auto decoded_leader = wire::decode_leader(leader->root());
  ASSERT_TRUE(decoded_leader.has_value());
  EXPECT_EQ(decoded_leader->node, "n0");
  EXPECT_EQ(decoded_leader->nonce, 77u);
  EXPECT_EQ(decoded_leader->term, 9u);
  EXPECT_EQ(decoded_leader->lease, 41u);
  const auto finished = wire::Document::parse(wire::encode_finished({JobState::Cancelled, 12}));
  const auto decoded_finished = wire::decode_finished(finished->root());
  ASSERT_TRUE(decoded_finished.has_value());
  EXPECT_EQ(decoded_finished->state, JobState::Cancelled);
  EXPECT_EQ(decoded_finished->done, 12u);
  const auto heartbeat =
      wire::decode_peer_heartbeat(wire::encode_peer_heartbeat(heartbeat_with_every_field()));
  ASSERT_TRUE(heartbeat.has_value());
  EXPECT_EQ(wire::encode_peer_heartbeat(*heartbeat),
            wire::encode_peer_heartbeat(heartbeat_with_every_field()));
}

}  // namespace
}  // namespace sumacquay
