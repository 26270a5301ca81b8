#include "wire/record_capacity.h"

#include <cmath>
#include <utility>

#include "wire/json_size.h"
#include "wire/records.h"

namespace sumacquay::wire {
namespace {

/// Fraction of the limit on a value that is kept free.
constexpr double kReserveShare = 1.0 / 32;
/// Fraction of the space left by the description that done tasks may take; hosts get the rest.
constexpr double kDoneShare = 2.0 / 3;
constexpr size_t kComma = 1;
/// A Unix time in milliseconds with 13 digits, the most that any time before the year 2286 has.
constexpr uint64_t kLongestTime = 9999999999999;

size_t json_size_of(const JobRecord& record) {
  return json_size(Document::parse(encode_job(record))->root());
}

/// Size of a record without hosts and done tasks, in the state that takes the most bytes.
size_t described_size(const JobRecord& record) {
  JobRecord described = record;
  described.state = JobState::Cancelled;
  described.started = false;
  described.hosts.emplace();
  described.done = {};
  // Dependencies are removed from the record when the job starts; hosts and done tasks are added
  // only from then on.
  described.spec.dependencies.clear();
  described.ready_ms = kLongestTime;
  described.ended_ms = kLongestTime;
  return json_size_of(described);
}

size_t names_size(const std::vector<std::string>& names) {
  size_t size = 0;
  for (const auto& name : names) size += json_size(name) + kComma;
  return size;
}

/// Upper bound on the encoded size of `spans` ranges, whatever their positions. The lengths of the
/// ranges and of the gaps before them add up to at most the number of tasks, and take the most
/// digits if all are equal.
double spans_size(size_t spans, uint32_t tasks) {
  constexpr double kFirstDigitAndComma = 2;
  constexpr double kEmptyFirstGap = 2;
  if (spans == 0) return 0;
  const auto lengths = 2 * static_cast<double>(spans);
  return lengths * (std::log10(tasks / lengths) + kFirstDigitAndComma) + kEmptyFirstGap;
}

/// Maximum number of ranges of done tasks that fit in this many bytes.
size_t spans_within(double bytes, uint32_t tasks) {
  size_t fit = 0;
  size_t too_many = (size_t{tasks} + 1) / 2 + 1;  // ranges are separated by a task that is not done
  while (too_many - fit > 1) {
    const size_t middle = fit + (too_many - fit) / 2;
    if (spans_size(middle, tasks) <= bytes)
      fit = middle;
    else
      too_many = middle;
  }
  return fit;
}

}  // namespace

bool RecordCapacity::holds(const std::vector<std::string>& names) const {
  return names_size(names) <= hosts;
}

size_t RecordCapacity::taken_by(const JobRecord& record) const {
  const double done = spans_size(record.done.spans(), record.spec.tasks);
  const size_t named = record.hosts ? names_size(*record.hosts) : 0;
  return described + named + static_cast<size_t>(std::ceil(done));
}

RecordCapacity record_capacity(const JobRecord& record, size_t max_bytes) {
  RecordCapacity capacity;
  capacity.described = described_size(record);
  const auto limit = static_cast<double>(max_bytes);
  const double left = limit * (1 - kReserveShare) - static_cast<double>(capacity.described);
  if (left <= 0) return capacity;
  capacity.spans = spans_within(left * kDoneShare, record.spec.tasks);
  capacity.hosts = static_cast<size_t>(left - spans_size(capacity.spans, record.spec.tasks));
  return capacity;
}

JobRecord fitting_record(JobRecord record, size_t max_bytes) {
  const RecordCapacity capacity = record_capacity(record, max_bytes);
  if (record.hosts && !capacity.holds(*record.hosts)) record.hosts.reset();
  record.done = record.done.first_spans(capacity.spans, record.done);
  return record;
}

}  // namespace sumacquay::wire
