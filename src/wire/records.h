#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "jobs/record.h"
#include "wire/view.h"

/// Values that controllers store in the key-value store. During an upgrade, controllers of
/// different versions read each other's records: fields may be added, but must not change their
/// meaning. A value that cannot be decoded completely decodes as none. The node and the front end
/// write the records; the record cache reads them.
namespace sumacquay::wire {

using sumacquay::FinishedRecord;

/// The current leader, or the last one if there is none.
struct LeaderRecord {
  std::string node;
  uint64_t nonce = 0;  ///< distinguishes successive processes of a node
  uint64_t term = 0;
  uint64_t lease = 0;
};

/// Record of a job that has not ended or has not been cleaned up yet. `record.hosts` must be
/// sorted.
std::string encode_job(const JobRecord& record);
std::optional<JobRecord> decode_job(View value);

/// Record of a job that has ended.
std::string encode_finished(const FinishedRecord& record);
std::optional<FinishedRecord> decode_finished(View value);

/// Record of a machine on which tasks may have been started.
std::string encode_host(const HostRecord& host);
std::optional<HostRecord> decode_host(View value);

std::string encode_leader(const LeaderRecord& record);
std::optional<LeaderRecord> decode_leader(View value);

}  // namespace sumacquay::wire
