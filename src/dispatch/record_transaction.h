#pragma once
#include <string>
#include <variant>
#include <vector>

#include "dispatch/record_write.h"
#include "jobs/record.h"
#include "wire/messages.h"

/// Builds the transaction by which the leader writes its records, without I/O. Called by whoever
/// carries out `Scheduler::plan_writes`: the node, and the deployment that the tests simulate.
///
/// Guarantees that the state service carries out such a transaction only while
/// - no later leader has been elected: every election changes the version of the term key;
/// - no job's record has changed since the leader decided on the write.
/// Records of hosts have no guard of their own: there is nobody else who writes them.
namespace sumacquay {

/// Stands for the value of a record that is deleted.
struct DeletedRecord {
  bool operator==(const DeletedRecord&) const = default;
};

/// What a key is to hold after the transaction.
using RecordValue = std::variant<DeletedRecord, JobRecord, FinishedRecord, HostRecord>;

/// One key that a transaction writes, with its record.
struct RecordMutation {
  std::string key;
  RecordValue value;
};

/// A transaction of the leader: the versions it depends on and what it writes.
struct RecordTransaction {
  std::vector<wire::Precondition> preconditions;
  std::vector<RecordMutation> mutations;
};

/// `term_version`: the term key's version as this leader knows it. One that learns of a later
/// election steps down before it writes again.
RecordTransaction record_transaction(const std::vector<RecordWrite>& writes, uint64_t term_version);

/// The same changes as the state service takes them.
std::vector<wire::Mutation> encode(const std::vector<RecordMutation>& changes);

}  // namespace sumacquay
