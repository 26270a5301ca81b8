#pragma once
#include <string>
#include <variant>
#include <vector>

#include "dispatch/record_write.h"
#include "jobs/record.h"
#include "wire/messages.h"

/// Builds the transaction that carries out the writes of `Scheduler::plan_writes`, without I/O.
/// Used by the node and by the simulated deployment in the tests.
///
/// The preconditions guarantee that the state service applies the transaction only if
/// - no later leader has been elected, since every election changes the version of the term key;
/// - no job record in it has changed since the leader planned the write.
/// Host records need no precondition of their own, since only the leader writes them.
namespace sumacquay {

/// Represents the value of a deleted record.
struct DeletedRecord {
  bool operator==(const DeletedRecord&) const = default;
};

/// The value of a key after the transaction.
using RecordValue = std::variant<DeletedRecord, JobRecord, FinishedRecord, HostRecord>;

/// A key that a transaction writes, with its new record.
struct RecordMutation {
  std::string key;
  RecordValue value;
};

/// A transaction of the leader: the versions that it requires and the records that it writes.
struct RecordTransaction {
  std::vector<wire::Precondition> preconditions;
  std::vector<RecordMutation> mutations;
};

/// `term_version`: the version of the term key that this leader last read. A leader that reads a
/// later election steps down before it writes again.
RecordTransaction record_transaction(const std::vector<RecordWrite>& writes, uint64_t term_version);

/// Encodes the mutations for the state service.
std::vector<wire::Mutation> encode(const std::vector<RecordMutation>& mutations);

}  // namespace sumacquay
