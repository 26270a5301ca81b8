// The leader's transaction as it is sent: its preconditions, its changes, and whether a store that
// checks the preconditions commits it.
#include "dispatch/record_transaction.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "store/record_cache.h"

namespace sumacquay {
namespace {

constexpr uint64_t kTermVersion = 70;

JobRecord job_record(const std::string& id) {
  JobRecord record;
  record.spec.id = id;
  record.spec.tasks = 3;
  record.submitted_ms = 5;
  return record;
}

RecordWrite job_write(const std::string& id, uint64_t version) {
  RecordWrite write;
  write.job = id;
  write.version = version;
  write.record = job_record(id);
  return write;
}

RecordWrite finished_write(const std::string& id, uint64_t version) {
  RecordWrite write = job_write(id, version);
  write.record->state = JobState::Done;
  write.record->done.add(0);
  write.record->done.add(1);
  write.finished = true;
  return write;
}

RecordWrite host_write(const std::string& id) {
  RecordWrite write;
  write.host = id;
  write.host_record = HostRecord{id, "10.0.0.1:9", "g", "east", true};
  return write;
}

RecordWrite host_deletion(const std::string& id) {
  RecordWrite write;
  write.host = id;
  return write;
}

/// Whether the key-value store would commit the transaction while the keys have these versions.
bool commits(const RecordTransaction& transaction,
             const std::map<std::string, uint64_t>& versions) {
  return std::all_of(transaction.preconditions.begin(), transaction.preconditions.end(),
                     [&](const auto& precondition) {
                       const auto stored = versions.find(precondition.key);
                       const uint64_t version = stored == versions.end() ? 0 : stored->second;
                       return version == precondition.version;
                     });
}

using EncodedValues = std::map<std::string, std::string>;
EncodedValues encoded(const RecordTransaction& transaction) {
  EncodedValues values;
  for (const auto& change : encode(transaction.mutations)) {
    EXPECT_EQ(change.lease, 0u) << "record attached to a lease: " << change.key;
    EXPECT_TRUE(values.emplace(change.key, change.value).second)
        << "key written twice: " << change.key;
  }
  return values;
}

TEST(RecordTransaction, FailsOnceAnotherLeaderIsElected) {
  for (const auto& write :
       {job_write("a", 4), finished_write("a", 4), host_write("i-1"), host_deletion("i-1")}) {
    const auto transaction = record_transaction({write}, kTermVersion);
    EXPECT_TRUE(commits(transaction, {{keys::kTerm, kTermVersion}, {keys::kLive + "a", 4}}));
    EXPECT_FALSE(commits(transaction, {{keys::kTerm, kTermVersion + 1}, {keys::kLive + "a", 4}}));
  }
}

TEST(RecordTransaction, FailsOnceOneOfItsRecordsHasChanged) {
  const std::map<std::string, uint64_t> versions_at_planning{
      {keys::kTerm, kTermVersion}, {keys::kLive + "a", 4}, {keys::kLive + "b", 9}};
  const auto transaction =
      record_transaction({job_write("a", 4), finished_write("b", 9)}, kTermVersion);
  EXPECT_TRUE(commits(transaction, versions_at_planning));
  for (const std::string job : {"a", "b"}) {
    auto changed = versions_at_planning;
    ++changed[keys::kLive + job];
    EXPECT_FALSE(commits(transaction, changed))
        << job << " changed after the transaction was planned";
    changed.erase(keys::kLive + job);
    EXPECT_FALSE(commits(transaction, changed)) << job << " has left the live records";
  }
}

TEST(RecordTransaction, MovesFinishedJobOutOfLiveRecordsAtomically) {
  const auto write = finished_write("a", 4);
  const EncodedValues expected{{keys::kLive + "a", ""},
                               {keys::kFinished + "a", wire::encode_finished({JobState::Done, 2})}};
  EXPECT_EQ(encoded(record_transaction({write}, kTermVersion)), expected);
}

TEST(RecordTransaction, ContainsEveryWriteOnce) {
  const std::vector<RecordWrite> writes{job_write("a", 4), finished_write("b", 9),
                                        host_write("i-1"), host_deletion("i-2")};
  const EncodedValues expected{
      {keys::kLive + "a", wire::encode_job(job_record("a"))},
      {keys::kLive + "b", ""},
      {keys::kFinished + "b", wire::encode_finished({JobState::Done, 2})},
      {keys::kHost + "i-1", wire::encode_host({"i-1", "10.0.0.1:9", "g", "east", true})},
      {keys::kHost + "i-2", ""}};
  EXPECT_EQ(encoded(record_transaction(writes, kTermVersion)), expected);
}

/// The leader relies on this count when it fills a transaction up to the key-value store's limit.
TEST(RecordTransaction, MutationCountMatchesItsWrites) {
  for (const auto& write :
       {job_write("a", 4), finished_write("a", 4), host_write("i-1"), host_deletion("i-1")})
    EXPECT_EQ(record_transaction({write}, kTermVersion).mutations.size(), write.mutation_count());
}

}  // namespace
}  // namespace sumacquay
