#include "store/record_tables.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "store/keys.h"

// Which of two changes of a record takes effect, in whatever order they arrive.
namespace sumacquay {
namespace {

constexpr size_t kMaxFinished = 2;

/// Builds changes of keys, and owns the documents that their values point into.
class Changes {
 public:
  wire::StoreItem written(const std::string& key, const std::string& value, uint64_t version) {
    documents_.push_back(wire::Document::parse(value));
    return {key, documents_.back()->root(), version};
  }
  wire::StoreItem job(const JobRecord& record, uint64_t version) {
    return written(keys::kLive + record.spec.id, wire::encode_job(record), version);
  }
  wire::StoreItem finished(const std::string& id, uint64_t version) {
    return written(keys::kFinished + id, wire::encode_finished({JobState::Done, 1, 50}), version);
  }
  wire::StoreItem host(uint64_t version) {
    return written(keys::kHost + "i-1", wire::encode_host({"i-1", "10.0.0.1:9", "g", "e", false}),
                   version);
  }
  wire::StoreItem leader(const std::string& key, uint64_t version) {
    return written(key, wire::encode_leader({"n", 1, 2, 3}), version);
  }
  static wire::StoreItem deleted(const std::string& key, uint64_t version) {
    return {key, {}, version};
  }

 private:
  std::vector<std::shared_ptr<wire::Document>> documents_;
};

JobRecord job_record(const std::string& id, std::vector<std::string> dependencies = {}) {
  JobRecord record;
  record.spec.id = id;
  record.spec.team = "t";
  record.spec.tasks = 1;
  record.spec.dependencies = std::move(dependencies);
  return record;
}

struct RecordTablesTest : ::testing::Test {
  RecordTables tables{kMaxFinished};
  Changes changes;

  ChangeEffect apply(const wire::StoreItem& item) { return tables.apply(item).effect; }
};

TEST_F(RecordTablesTest, AppliesChangesByVersion) {
  const auto job = [&](uint64_t version) { return changes.job(job_record("job-1"), version); };
  const std::string live = keys::kLive + "job-1";
  const std::string host = keys::kHost + "i-1";
  struct Case {
    const char* description;
    std::vector<wire::StoreItem> applied_before;
    wire::StoreItem change;
    ChangeEffect effect;
  };
  const std::vector<Case> cases{
      {"new job", {}, job(5), ChangeEffect::JobUpdated},
      {"newer job", {job(5)}, job(6), ChangeEffect::JobUpdated},
      {"same job again", {job(5)}, job(5), ChangeEffect::None},
      {"older deletion", {job(5)}, Changes::deleted(live, 4), ChangeEffect::None},
      {"newer deletion", {job(5)}, Changes::deleted(live, 6), ChangeEffect::JobEnded},
      {"live after finished", {changes.finished("job-1", 5)}, job(6), ChangeEffect::JobEnded},
      {"unreadable", {job(5)}, changes.leader(live, 6), ChangeEffect::Unreadable},
      {"finished", {job(5)}, changes.finished("job-1", 6), ChangeEffect::JobEnded},
      {"clean-up of a finished job",
       {},
       Changes::deleted(keys::kFinished + "job-1", 6),
       ChangeEffect::None},
      {"new host", {}, changes.host(5), ChangeEffect::HostChanged},
      {"older host", {changes.host(5)}, changes.host(4), ChangeEffect::None},
      {"deleted host", {changes.host(5)}, Changes::deleted(host, 6), ChangeEffect::HostChanged},
      {"leader", {}, changes.leader(keys::kLeader, 5), ChangeEffect::LeaderChanged},
      {"leader before its deletion",
       {Changes::deleted(keys::kLeader, 6)},
       changes.leader(keys::kLeader, 5),
       ChangeEffect::None},
      {"term", {}, changes.leader(keys::kTerm, 5), ChangeEffect::LeaderChanged},
      {"a term is never deleted", {}, Changes::deleted(keys::kTerm, 5), ChangeEffect::None},
      {"another key", {}, changes.leader("sq/other", 5), ChangeEffect::None},
  };
  for (const auto& test_case : cases) {
    RecordTables fresh(kMaxFinished);
    for (const auto& item : test_case.applied_before)
      EXPECT_NE(fresh.apply(item).effect, ChangeEffect::None);
    EXPECT_EQ(fresh.apply(test_case.change).effect, test_case.effect) << test_case.description;
  }
}

TEST_F(RecordTablesTest, UnreadableRecordKeepsThePreviousOne) {
  EXPECT_EQ(apply(changes.job(job_record("job-1"), 5)), ChangeEffect::JobUpdated);
  EXPECT_EQ(apply(changes.leader(keys::kLive + "job-1", 6)), ChangeEffect::Unreadable);
  ASSERT_NE(tables.live_job("job-1"), nullptr);
  EXPECT_EQ(tables.live_job("job-1")->version, 5u);
}

TEST_F(RecordTablesTest, ChangesOfAPageAreFilteredAndOrderedByVersion) {
  tables.set_revision(4);
  wire::StorePage page;
  page.items = {Changes::deleted(keys::kLive + "job-1", 6), changes.job(job_record("job-1"), 5),
                changes.job(job_record("job-2"), 4)};
  std::vector<uint64_t> versions;
  for (const auto* item : tables.newer_changes(page)) {
    versions.push_back(item->version);
    EXPECT_EQ(tables.apply(*item).job, "job-1");
  }
  EXPECT_EQ(versions, (std::vector<uint64_t>{5, 6}));
  EXPECT_TRUE(tables.live_jobs().empty());
}

TEST_F(RecordTablesTest, RevisionDecreasesOnlyWithASnapshot) {
  tables.set_revision(4);
  tables.advance_revision(9);
  tables.advance_revision(7);
  EXPECT_EQ(tables.revision(), 9u);
  tables.set_revision(3);
  EXPECT_EQ(tables.revision(), 3u);
}

TEST_F(RecordTablesTest, OwnWritesApplyOnlyIfNewer) {
  tables.set_revision(10);
  EXPECT_FALSE(tables.on_job_written(job_record("job-1"), 10))
      << "the watch has delivered it already";
  EXPECT_TRUE(tables.on_job_written(job_record("job-1"), 12));
  EXPECT_FALSE(tables.on_job_written(job_record("job-1"), 11))
      << "the late answer to an older write";
  tables.add_finished("job-2", {JobState::Done, 1, 50});
  EXPECT_FALSE(tables.on_job_written(job_record("job-2"), 13))
      << "a finished job does not become live again";

  const HostRecord host{"i-1", "10.0.0.1:9", "g", "e", false};
  tables.on_host_written("i-1", &host, 10);
  EXPECT_TRUE(tables.hosts().empty());
  tables.on_host_written("i-1", &host, 11);
  EXPECT_EQ(tables.hosts().at("i-1").version, 11u);

  tables.on_leader_written({"n", 1, 2, 3}, 10);
  EXPECT_EQ(tables.leader().version, 0u);
  tables.on_leader_written({"n", 1, 2, 3}, 11);
  EXPECT_EQ(tables.leader().version, 11u);
  EXPECT_EQ(tables.term().version, 11u);
}

TEST_F(RecordTablesTest, OlderChangeDoesNotRestoreDeletedHost) {
  tables.on_host_written("i-1", nullptr, 7);
  EXPECT_EQ(apply(changes.host(6)), ChangeEffect::None);
  EXPECT_EQ(apply(changes.host(8)), ChangeEffect::HostChanged);
}

TEST_F(RecordTablesTest, KeepsMostRecentlyAddedFinishedJobs) {
  for (const auto* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(apply(changes.finished(id, 5)), ChangeEffect::JobEnded);
  EXPECT_EQ(tables.finished_job("job-1"), nullptr);
  EXPECT_NE(tables.finished_job("job-2"), nullptr);
  EXPECT_NE(tables.finished_job("job-3"), nullptr);
  tables.clear();
  EXPECT_NE(tables.finished_job("job-3"), nullptr)
      << "kept by clear(), since a new snapshot does not contain finished jobs";
}

TEST_F(RecordTablesTest, ResolvesDependenciesFromLiveAndFinishedJobs) {
  tables.add_finished("job-1", {JobState::Done, 1, 50});
  EXPECT_TRUE(tables.on_job_written(job_record("job-2"), 1));
  EXPECT_TRUE(tables.on_job_written(job_record("job-4", {"job-1", "job-2", "job-3"}), 2));
  EXPECT_EQ(tables.dependencies().unknown_jobs(), std::set<std::string>{"job-3"});
  tables.add_finished("job-3", {JobState::Done, 1, 60});
  EXPECT_TRUE(tables.dependencies().unknown_jobs().empty());
  EXPECT_FALSE(tables.dependencies().ready("job-4"));
  tables.add_finished("job-2", {JobState::Done, 1, 70});
  EXPECT_TRUE(tables.dependencies().ready("job-4"));
  EXPECT_EQ(tables.finished_job("job-1"), nullptr) << "evicted by two jobs that finished later";
  ASSERT_TRUE(tables.dependency_outcome("job-1"));
  EXPECT_EQ(tables.dependency_outcome("job-1")->ended_ms, 50u);
}

}  // namespace
}  // namespace sumacquay
