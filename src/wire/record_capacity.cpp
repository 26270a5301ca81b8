#include "wire/record_capacity.h"

#include <cmath>
#include <utility>

#include "wire/json_size.h"
#include "wire/records.h"

namespace sumacquay::wire {
namespace {

/// Fraction of the limit on a value that is kept free for fields added by later versions and for
/// anything that the size estimate does not cover.
constexpr double kReserveFraction = 1.0 / 32;
/// Fraction of the space left by the description that done tasks may take. They compete with hosts,
/// which get the rest.
constexpr double kDoneTasksFraction = 2.0 / 3;
constexpr size_t kCommaBytes = 1;
/// A Unix time in milliseconds with 13 digits, the most that any time before the year 2286 has.
constexpr uint64_t kMaxUnixTimeMs = 9999999999999;

size_t encoded_size(const JobRecord& record) {
  return json_size(Document::parse(encode_job(record))->root());
}

/// Size of a record without hosts and done tasks, in the state that takes the most bytes.
size_t base_size(const JobRecord& record) {
  JobRecord base = record;
  base.state = JobState::Cancelled;
  base.started = false;
  base.hosts.emplace();
  base.done = {};
  // Dependencies are removed from the record when the job starts; hosts and done tasks are added
  // only from then on.
  base.spec.dependencies.clear();
  base.ready_ms = kMaxUnixTimeMs;
  base.ended_ms = kMaxUnixTimeMs;
  return encoded_size(base);
}

size_t names_size(const std::vector<std::string>& names) {
  size_t size = 0;
  for (const auto& name : names) size += json_size(name) + kCommaBytes;
  return size;
}

/// Upper bound on the encoded size of `range_count` ranges, whatever their positions. The lengths
/// of the ranges and of the gaps before them add up to at most the number of tasks, and take the
/// most digits if all are equal.
double ranges_size(size_t range_count, uint32_t tasks) {
  constexpr double kFirstDigitAndCommaBytes = 2;
  constexpr double kEmptyFirstGapBytes = 2;
  if (range_count == 0) return 0;
  const auto length_count = 2 * static_cast<double>(range_count);
  return length_count * (std::log10(tasks / length_count) + kFirstDigitAndCommaBytes) +
         kEmptyFirstGapBytes;
}

/// Maximum number of ranges of done tasks that fit in this many bytes.
size_t max_ranges_within(double bytes, uint32_t tasks) {
  size_t fit = 0;
  size_t too_many = (size_t{tasks} + 1) / 2 + 1;  // ranges are separated by a task that is not done
  while (too_many - fit > 1) {
    const size_t middle = fit + (too_many - fit) / 2;
    if (ranges_size(middle, tasks) <= bytes)
      fit = middle;
    else
      too_many = middle;
  }
  return fit;
}

}  // namespace

bool RecordCapacity::fits_hosts(const std::vector<std::string>& names) const {
  return names_size(names) <= host_bytes;
}

size_t RecordCapacity::size_bound(const JobRecord& record) const {
  const double done_bytes = ranges_size(record.done.range_count(), record.spec.tasks);
  const size_t encoded_host_bytes = record.hosts ? names_size(*record.hosts) : 0;
  return description_bytes + encoded_host_bytes + static_cast<size_t>(std::ceil(done_bytes));
}

RecordCapacity record_capacity(const JobRecord& record, size_t max_bytes) {
  RecordCapacity capacity;
  capacity.description_bytes = base_size(record);
  const auto limit = static_cast<double>(max_bytes);
  const double remaining =
      limit * (1 - kReserveFraction) - static_cast<double>(capacity.description_bytes);
  if (remaining <= 0) return capacity;
  capacity.max_done_ranges = max_ranges_within(remaining * kDoneTasksFraction, record.spec.tasks);
  capacity.host_bytes =
      static_cast<size_t>(remaining - ranges_size(capacity.max_done_ranges, record.spec.tasks));
  return capacity;
}

JobRecord truncated_record(JobRecord record, size_t max_bytes) {
  const RecordCapacity capacity = record_capacity(record, max_bytes);
  if (record.hosts && !capacity.fits_hosts(*record.hosts)) record.hosts.reset();
  record.done = record.done.subset_of_ranges(capacity.max_done_ranges, record.done);
  return record;
}

}  // namespace sumacquay::wire
