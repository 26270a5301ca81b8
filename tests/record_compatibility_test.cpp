#include <gtest/gtest.h>

#include <map>
#include <string>
#include <string_view>

#include "wire/messages.h"

// During an upgrade controllers of two versions run side by side. The bytes here were written by
// the encoders of the last version without dependencies between jobs. That version requires of a
// record all fields that it writes itself.
namespace sumacquay {
namespace {

constexpr std::string_view kOldJobWithEveryField =
    "86a473706563de0014a26964a66a6f622d3137a77061747465726ea5747261696ea56775696c64a4"
    "626c7565a57765617665a8656e73656d626c65a7757267656e6379ab626573745f6566666f7274a7"
    "74687265616473cd012ca5766370757304a56361726473cb3fe0000000000000a672616d5f6762cb"
    "4030400000000000a4626f6c74a7696d6167652d33a8696d6167655f6762cb401e000000000000a6"
    "6672616d657392a5736d616c6ca56c61726765a468616c6ca465617374a8746f676574686572c3a7"
    "73636174746572c2a8626f72726f776564c3a87265636b6f6e5f7378a66d61726b5f731ea673746f"
    "775f73cb4004000000000000a56475655f73cd0e10a57374617465a963616e63656c6c6564a77374"
    "6172746564c3a5686f73747392a36d2d31a36d2d32a561745f6d73cf0000018bcfe5687ba4646f6e"
    "659600020301cd012501";
constexpr std::string_view kOldJobWithoutOptionalFields =
    "85a473706563de0011a26964a56a6f622d31a77061747465726ea0a56775696c64a0a57765617665"
    "a773657276696365a7757267656e6379aa70726f64756374696f6ea77468726561647301a5766370"
    "757300a5636172647300a672616d5f676200a4626f6c74a0a8696d6167655f676200a8746f676574"
    "686572c2a773636174746572c3a8626f72726f776564c2a87265636b6f6e5f7300a66d61726b5f73"
    "00a673746f775f7300a57374617465a770656e64696e67a773746172746564c2a561745f6d7300a4"
    "646f6e6590";
constexpr std::string_view kOldFinished = "82a57374617465a4646f6e65a4646f6e65cd012c";

std::string bytes_from_hex(std::string_view hex) {
  constexpr int kBase = 16;
  std::string bytes;
  for (size_t at = 0; at < hex.size(); at += 2)
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(at, 2)), nullptr, kBase));
  return bytes;
}

JobRecord decoded_job(std::string_view bytes) {
  const auto record = wire::decode_job(wire::Document::parse(bytes)->root());
  EXPECT_TRUE(record.has_value());
  return record.value_or(JobRecord{});
}

using Fields = std::map<std::string, msgpack::object>;

Fields fields_of(const msgpack::object& map) {
  return map.as<Fields>();
}

/// Expects that `wider` has every field of `narrower` with the same value. A job's description is
/// also compared field by field.
void expect_all_fields(const std::string& narrower, const std::string& wider) {
  const auto narrow = msgpack::unpack(narrower.data(), narrower.size());
  const auto wide = msgpack::unpack(wider.data(), wider.size());
  const Fields wide_fields = fields_of(wide.get());
  for (const auto& [name, value] : fields_of(narrow.get())) {
    ASSERT_TRUE(wide_fields.contains(name)) << name;
    if (name != "spec") {
      EXPECT_EQ(wide_fields.at(name), value) << name;
      continue;
    }
    const Fields wide_spec = fields_of(wide_fields.at(name));
    for (const auto& [spec_name, spec_value] : fields_of(value)) {
      ASSERT_TRUE(wide_spec.contains(spec_name)) << spec_name;
      EXPECT_EQ(wide_spec.at(spec_name), spec_value) << spec_name;
    }
  }
}

TEST(RecordCompatibility, ReadsRecordsOfOldVersion) {
  const JobRecord full = decoded_job(bytes_from_hex(kOldJobWithEveryField));
  EXPECT_EQ(full.spec.id, "job-17");
  EXPECT_EQ(full.state, JobState::Cancelled);
  EXPECT_EQ(full.hosts, (std::vector<std::string>{"m-1", "m-2"}));
  EXPECT_EQ(full.done.count(), 4u);
  EXPECT_TRUE(full.spec.dependencies.empty());
  EXPECT_EQ(full.ready_ms, 0u);
  EXPECT_EQ(full.ended_ms, 0u);
  const JobRecord minimal = decoded_job(bytes_from_hex(kOldJobWithoutOptionalFields));
  EXPECT_EQ(minimal.spec.id, "job-1");
  EXPECT_FALSE(minimal.started);
  const std::string finished = bytes_from_hex(kOldFinished);
  const auto record = wire::decode_finished(wire::Document::parse(finished)->root());
  EXPECT_EQ(record, (FinishedRecord{JobState::Done, 300, 0}));
}

/// As long as the new fields are not used, both versions write the same bytes.
TEST(RecordCompatibility, WritesJobsWithoutDependenciesInOldFormat) {
  for (const auto old : {kOldJobWithEveryField, kOldJobWithoutOptionalFields}) {
    const std::string bytes = bytes_from_hex(old);
    EXPECT_EQ(wire::encode_job(decoded_job(bytes)), bytes);
  }
  EXPECT_EQ(wire::encode_finished({JobState::Done, 300}), bytes_from_hex(kOldFinished));
}

TEST(RecordCompatibility, NewFieldsAreAddedToAllOldFields) {
  const std::string old = bytes_from_hex(kOldJobWithEveryField);
  JobRecord record = decoded_job(old);
  record.spec.dependencies = {"job-3", "job-5"};
  record.ready_ms = 1700000000200;
  record.ended_ms = 1700000000300;
  const std::string written = wire::encode_job(record);
  expect_all_fields(old, written);
  EXPECT_EQ(decoded_job(written), record);
  expect_all_fields(bytes_from_hex(kOldFinished), wire::encode_finished({JobState::Done, 300, 17}));
}

/// When the old version rewrites a record, it drops the fields that it doesn't have. Only the times
/// at which a job became ready or ended are lost; no job starts or ends because of that.
TEST(RecordCompatibility, RecordRewrittenByOldVersionLosesOnlyTimes) {
  JobRecord record = decoded_job(bytes_from_hex(kOldJobWithEveryField));
  record.ready_ms = 1700000000200;
  record.ended_ms = 1700000000300;
  JobRecord rewritten = record;
  rewritten.ready_ms = 0;
  rewritten.ended_ms = 0;
  EXPECT_EQ(wire::encode_job(rewritten), bytes_from_hex(kOldJobWithEveryField));
}

}  // namespace
}  // namespace sumacquay
