#include "store/dependency_reader.h"

#include <utility>

#include "store/keys.h"

namespace sumacquay {
namespace {

std::optional<FinishedRecord> finished_of(const HttpResult& result) {
  const auto page = result.ok() ? wire::parse_item(result.body) : std::nullopt;
  return page ? wire::decode_finished(page->items[0].value) : std::nullopt;
}

}  // namespace

DependencyReader::DependencyReader(KeyValueStoreClient& store, LoadGeneration& generation,
                                   const RecordTables& tables, double retry_s, Found found)
    : store_(store),
      generation_(generation),
      tables_(tables),
      retry_s_(retry_s),
      found_(std::move(found)) {}

/// Reads one record at a time: there are few to read, except on a node that has just started.
void DependencyReader::read_unknown() {
  const auto& unknown = tables_.dependencies().unknown();
  if (reading_ || unknown.empty()) return;
  reading_ = true;
  const auto next = unknown.upper_bound(last_read_);
  last_read_ = next == unknown.end() ? *unknown.begin() : *next;
  read(last_read_);
}

void DependencyReader::read(const std::string& id) {
  store_.read(
      RequestPriority::Record, wire::item_path(keys::kFinished + id),
      generation_.unless_reloaded([this, id](const HttpResult& result) { on_answer(id, result); }));
}

void DependencyReader::on_answer(const std::string& id, const HttpResult& result) {
  reading_ = false;
  const auto record = finished_of(result);
  if (!record) return generation_.schedule_unless_reloaded(retry_s_, [this] { read_unknown(); });
  found_(id, *record);
  read_unknown();
}

}  // namespace sumacquay
