#include "wire/records.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "wire/codec.h"
#include "wire/job_spec_codec.h"

namespace sumacquay::wire {
namespace {

using codec::Fields;
using codec::pack_field;
using codec::pack_message;
using codec::Packer;

constexpr const char* kSpec = "spec";
constexpr const char* kState = "state";
constexpr const char* kStarted = "started";
constexpr const char* kHosts = "hosts";
constexpr const char* kSubmittedAt = "at_ms";
constexpr const char* kDone = "done";
// Added together with job dependencies. Earlier versions ignore these fields and write records
// without them.
constexpr const char* kReadyAt = "ready_ms";
constexpr const char* kEndedAt = "ended_ms";

constexpr const char* kId = "id";
constexpr const char* kAddress = "addr";
constexpr const char* kType = "type";
constexpr const char* kZone = "zone";
constexpr const char* kSpot = "spot";

constexpr const char* kNode = "node";
constexpr const char* kNonce = "nonce";
constexpr const char* kTerm = "term";
constexpr const char* kLease = "lease";

constexpr codec::EnumNames<JobState, 3> kJobStates{
    {{JobState::Pending, "pending"}, {JobState::Cancelled, "cancelled"}, {JobState::Done, "done"}}};

void pack_ranges(Packer& packer, const TaskRangeSet& ranges) {
  const std::vector<uint32_t> lengths = ranges.to_lengths();
  codec::pack_list(packer, lengths,
                   [](Packer& list, uint32_t length) { list.pack_uint32(length); });
}

bool read_ranges(View value, uint32_t tasks, TaskRangeSet& ranges) {
  std::vector<uint32_t> lengths;
  for (size_t i = 0; i < value.size(); ++i) {
    // An unreadable length becomes UINT32_MAX, which exceeds any number of tasks and makes the
    // whole list invalid.
    const uint64_t length = value.at(i).unsigned_integer().value_or(UINT32_MAX);
    lengths.push_back(static_cast<uint32_t>(length));
  }
  return TaskRangeSet::from_lengths(lengths, tasks, ranges);
}

constexpr uint32_t kRequiredFields = 5;

uint32_t count_fields(const JobRecord& record) {
  uint32_t count = kRequiredFields;
  if (record.hosts) ++count;
  if (record.ready_ms > 0) ++count;
  if (record.ended_ms > 0) ++count;
  return count;
}

}  // namespace

std::string encode_job(const JobRecord& record) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(count_fields(record));
    codec::pack_text(packer, kSpec);
    codec::pack_spec(packer, record.spec);
    pack_field(packer, kState, name_of(kJobStates, record.state));
    pack_field(packer, kStarted, record.started);
    if (record.hosts) {
      codec::pack_text(packer, kHosts);
      codec::pack_texts(packer, *record.hosts);
    }
    pack_field(packer, kSubmittedAt, record.submitted_ms);
    codec::pack_text(packer, kDone);
    pack_ranges(packer, record.done);
    if (record.ready_ms > 0) pack_field(packer, kReadyAt, record.ready_ms);
    if (record.ended_ms > 0) pack_field(packer, kEndedAt, record.ended_ms);
  });
}

std::optional<JobRecord> decode_job(View value) {
  JobRecord record;
  const View spec = value[kSpec];
  const View done = value[kDone];
  if (!spec.is_map() || !done.is_list()) return std::nullopt;
  Fields spec_fields(spec);
  codec::read_spec(spec_fields, record.spec);
  if (!spec_fields.ok()) return std::nullopt;
  Fields fields(value);
  record.state = fields.enumerator(kState, kJobStates);
  record.started = fields.flag(kStarted);
  record.submitted_ms = fields.unsigned_integer(kSubmittedAt);
  if (!fields.ok()) return std::nullopt;
  record.ready_ms = value[kReadyAt].unsigned_integer().value_or(0);
  record.ended_ms = value[kEndedAt].unsigned_integer().value_or(0);
  if (const View hosts = value[kHosts]; hosts.is_list()) {
    record.hosts = codec::read_texts(hosts);
    if (!std::is_sorted(record.hosts->begin(), record.hosts->end())) return std::nullopt;
  }
  if (!read_ranges(done, record.spec.tasks, record.done)) return std::nullopt;
  return record;
}

std::string encode_finished(const FinishedRecord& record) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(record.ended_ms > 0 ? 3 : 2);
    pack_field(packer, kState, name_of(kJobStates, record.state));
    pack_field(packer, kDone, uint64_t{record.done});
    if (record.ended_ms > 0) pack_field(packer, kEndedAt, record.ended_ms);
  });
}

std::optional<FinishedRecord> decode_finished(View value) {
  Fields fields(value);
  FinishedRecord record;
  record.state = fields.enumerator(kState, kJobStates);
  record.done = static_cast<uint32_t>(fields.unsigned_integer(kDone));
  record.ended_ms = fields[kEndedAt].unsigned_integer().value_or(0);
  return fields.if_ok(record);
}

std::string encode_host(const HostRecord& host) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(5);
    pack_field(packer, kId, host.id);
    pack_field(packer, kAddress, host.addr);
    pack_field(packer, kType, host.type);
    pack_field(packer, kZone, host.zone);
    pack_field(packer, kSpot, host.spot);
  });
}

std::optional<HostRecord> decode_host(View value) {
  Fields fields(value);
  HostRecord host;
  host.id = fields.text(kId);
  host.addr = fields.text(kAddress);
  host.type = fields.text(kType);
  host.zone = fields.text(kZone);
  host.spot = fields.flag(kSpot);
  return fields.if_ok(std::move(host));
}

std::string encode_leader(const LeaderRecord& record) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(4);
    pack_field(packer, kNode, record.node);
    pack_field(packer, kNonce, record.nonce);
    pack_field(packer, kTerm, record.term);
    pack_field(packer, kLease, record.lease);
  });
}

std::optional<LeaderRecord> decode_leader(View value) {
  Fields fields(value);
  LeaderRecord record;
  record.node = fields.text(kNode);
  record.nonce = fields.unsigned_integer(kNonce);
  record.term = fields.unsigned_integer(kTerm);
  record.lease = fields[kLease].unsigned_integer().value_or(0);
  return fields.if_ok(std::move(record));
}

}  // namespace sumacquay::wire
