#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "jobs/record.h"

/// How much of a job's progress and hosts its record can hold: the key-value store limits the size
/// of a value in JSON form. Called by the leader and the front end, which write the records.
namespace sumacquay::wire {

/// Space in a job's record besides the job's description. Depends on the description alone, so it
/// is computed once per job.
struct RecordCapacity {
  size_t description_bytes = 0;  ///< bytes of the record without hosts and done tasks
  size_t host_bytes = 0;         ///< bytes available for the names of hosts
  size_t max_done_ranges = 0;  ///< maximum number of ranges of done tasks, whatever their positions

  /// Whether there is any space. Without it, the record can't be written.
  bool has_space() const { return max_done_ranges > 0; }
  /// Whether a record with these hosts fits.
  bool fits_hosts(const std::vector<std::string>& names) const;
  /// Upper bound on the size in bytes of a record that fits, close to its actual size.
  size_t size_bound(const JobRecord& record) const;
};

/// `max_bytes` is the key-value store's limit on the size of a value.
RecordCapacity record_capacity(const JobRecord& record, size_t max_bytes);

/// Returns the record reduced to what fits: hosts that do not fit are omitted, which means that the
/// tasks may be on any machine, and only the first ranges of done tasks are kept. If the
/// description leaves no space, the result is as small as possible and may exceed the limit.
JobRecord truncated_record(JobRecord record, size_t max_bytes);

}  // namespace sumacquay::wire
