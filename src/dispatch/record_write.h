#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "jobs/record.h"

namespace sumacquay {

/// One change of a record that the leader wants.
struct RecordWrite {
  std::string job, host;  ///< which of the two it is
  uint64_t version = 0;   ///< guard
  std::optional<JobRecord> record;
  bool finished = false;                  ///< the job leaves the live records
  std::optional<HostRecord> host_record;  ///< none: delete
  size_t changes() const { return finished ? 2 : 1; }
};

}  // namespace sumacquay
