#include "dispatch/record_transaction.h"

#include "store/mirror.h"

namespace sumacquay {
namespace {

void add_host(const RecordWrite& write, RecordTransaction& transaction) {
  const std::string key = keys::kHost + write.host;
  if (write.host_record)
    transaction.changes.push_back({key, *write.host_record});
  else
    transaction.changes.push_back({key, DeletedRecord{}});
}

void add_job(const RecordWrite& write, RecordTransaction& transaction) {
  const std::string live = keys::kLive + write.job;
  transaction.guards.push_back({live, write.version});
  if (!write.finished) {
    transaction.changes.push_back({live, *write.record});
    return;
  }
  // In one transaction, so that whoever reads the finished records last finds every job.
  transaction.changes.push_back({live, DeletedRecord{}});
  transaction.changes.push_back(
      {keys::kFinished + write.job,
       FinishedRecord{write.record->state, write.record->done.count(), write.record->ended_ms}});
}

std::string encode(const DeletedRecord& /*record*/) {
  return {};
}
std::string encode(const JobRecord& record) {
  return wire::encode_job(record);
}
std::string encode(const FinishedRecord& record) {
  return wire::encode_finished(record);
}
std::string encode(const HostRecord& record) {
  return wire::encode_host(record);
}

}  // namespace

RecordTransaction record_transaction(const std::vector<RecordWrite>& writes,
                                     uint64_t term_version) {
  RecordTransaction transaction;
  transaction.guards.push_back({keys::kTerm, term_version});
  for (const auto& write : writes) {
    if (write.host.empty())
      add_job(write, transaction);
    else
      add_host(write, transaction);
  }
  return transaction;
}

std::vector<wire::Change> encode(const std::vector<RecordChange>& changes) {
  constexpr uint64_t kNoLease = 0;
  std::vector<wire::Change> encoded;
  encoded.reserve(changes.size());
  for (const auto& change : changes) {
    std::string value = std::visit([](const auto& v) { return encode(v); }, change.value);
    encoded.push_back({change.key, std::move(value), kNoLease});
  }
  return encoded;
}

}  // namespace sumacquay
