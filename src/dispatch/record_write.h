#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "jobs/record.h"

namespace sumacquay {

/// One change of a record that the leader wants. The node writes it in a transaction that is
/// guarded by the leader's term and, for jobs, by the record's version.
struct RecordWrite {
  std::string job, host;  ///< which of the two it is
  uint64_t version = 0;   ///< guard
  std::optional<JobRecord> record;
  bool finished = false;                  ///< the job leaves the live records
  std::optional<HostRecord> host_record;  ///< none: delete
  /// Changes that a transaction counts: a job that finishes moves from one key to another.
  size_t changes() const { return finished ? 2 : 1; }
};

}  // namespace sumacquay
