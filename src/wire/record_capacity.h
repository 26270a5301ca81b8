#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "jobs/record.h"

/// How much of a job's progress and hosts its record can hold: the key-value store limits the size
/// of a value in JSON form. The leader and the front end, who write the records, call it.
namespace sumacquay::wire {

/// What a job's record may hold beside its description. It depends on the description alone, so it
/// is worked out once for each job.
struct RecordCapacity {
  size_t described = 0;  ///< bytes of the record without hosts and done numbers
  size_t hosts = 0;      ///< bytes for the names of its hosts
  size_t spans = 0;      ///< spans of done numbers, wherever they lie

  /// Whether there is any: without, the record can't be written.
  bool any() const { return spans > 0; }
  /// Whether a record with these hosts fits.
  bool holds(const std::vector<std::string>& names) const;
  /// The bytes of a record that fits, or a little more.
  size_t taken_by(const JobRecord& record) const;
};

/// `max_bytes`: the limit on a value.
RecordCapacity record_capacity(const JobRecord& record, size_t max_bytes);

/// The same record, or as much of it as fits: without its hosts, which means that its tasks may be
/// anywhere, and with the first spans of its done numbers. One whose description leaves no room is
/// as small as it can be.
JobRecord fitting_record(JobRecord record, size_t max_bytes);

}  // namespace sumacquay::wire
