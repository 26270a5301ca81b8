#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "jobs/record.h"
#include "wire/view.h"

/// Our own values in the key-value store. Every controller reads what the others wrote, also of
/// another version during an upgrade: fields may be added, and none may change its meaning. A value
/// that can't be read whole decodes as none. The node and the front end write them, the record
/// cache reads them.
namespace sumacquay::wire {

using sumacquay::FinishedRecord;

/// Who leads, or led last.
struct LeaderRecord {
  std::string node;
  uint64_t nonce = 0;  ///< tells one process of a node from the next
  uint64_t term = 0;
  uint64_t lease = 0;
};

/// A job that is not over. `record.hosts` has to be sorted.
std::string encode_job(const JobRecord& record);
std::optional<JobRecord> decode_job(View value);

/// A job that is over.
std::string encode_finished(const FinishedRecord& record);
std::optional<FinishedRecord> decode_finished(View value);

/// A machine that may run something.
std::string encode_host(const HostRecord& host);
std::optional<HostRecord> decode_host(View value);

std::string encode_leader(const LeaderRecord& record);
std::optional<LeaderRecord> decode_leader(View value);

}  // namespace sumacquay::wire
