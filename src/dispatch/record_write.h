#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "jobs/record.h"

namespace sumacquay {

/// A record write planned by the leader. The node carries it out in a transaction that is guarded
/// by the leader's term and, for jobs, by the version of the record.
struct RecordWrite {
  std::string job, host;                  ///< id of the job or machine; the other is empty
  uint64_t version = 0;                   ///< job: version of the record that the write replaces
  std::optional<JobRecord> record;        ///< job: the new record
  bool finished = false;                  ///< job: moves to the finished records
  std::optional<HostRecord> host_record;  ///< machine: the new record; none: delete it
  /// How many keys the write changes in a transaction. A finished job is deleted from one key and
  /// written to another.
  size_t mutation_count() const { return finished ? 2 : 1; }
};

}  // namespace sumacquay
