#include "dispatch/record_transaction.h"

#include "store/record_cache.h"

namespace sumacquay {
namespace {

void add_host(const RecordWrite& write, RecordTransaction& transaction) {
  const std::string key = keys::kHost + write.host;
  if (write.host_record)
    transaction.mutations.push_back({key, *write.host_record});
  else
    transaction.mutations.push_back({key, DeletedRecord{}});
}

void add_job(const RecordWrite& write, RecordTransaction& transaction) {
  const std::string live_key = keys::kLive + write.job;
  transaction.preconditions.push_back({live_key, write.version});
  if (!write.finished) {
    transaction.mutations.push_back({live_key, *write.record});
    return;
  }
  // Moved in one transaction, so that a reader that lists the live records before the finished ones
  // finds every job.
  transaction.mutations.push_back({live_key, DeletedRecord{}});
  transaction.mutations.push_back(
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
  transaction.preconditions.push_back({keys::kTerm, term_version});
  for (const auto& write : writes) {
    if (write.host.empty())
      add_job(write, transaction);
    else
      add_host(write, transaction);
  }
  return transaction;
}

std::vector<wire::Mutation> encode(const std::vector<RecordMutation>& mutations) {
  constexpr uint64_t kNoLease = 0;
  std::vector<wire::Mutation> encoded;
  encoded.reserve(mutations.size());
  for (const auto& mutation : mutations) {
    std::string value =
        std::visit([](const auto& record) { return encode(record); }, mutation.value);
    encoded.push_back({mutation.key, std::move(value), kNoLease});
  }
  return encoded;
}

}  // namespace sumacquay
