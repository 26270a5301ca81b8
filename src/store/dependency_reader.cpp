#include "store/dependency_reader.h"

#include <utility>

#include "store/keys.h"

namespace sumacquay {
namespace {

std::optional<FinishedRecord> parse_finished_record(const HttpResult& result) {
  const auto page = result.ok() ? wire::parse_item(result.body) : std::nullopt;
  return page ? wire::decode_finished(page->items[0].value) : std::nullopt;
}

}  // namespace

DependencyReader::DependencyReader(KeyValueStoreClient& store, LoadGeneration& generation,
                                   const RecordTables& tables, double retry_delay_s,
                                   RecordReadCallback on_record_read)
    : store_(store),
      generation_(generation),
      tables_(tables),
      retry_delay_s_(retry_delay_s),
      on_record_read_(std::move(on_record_read)) {}

/// Reads one record at a time: there are few to read, except on a node that has just started.
void DependencyReader::read_unknown() {
  const auto& unknown = tables_.dependencies().unknown_jobs();
  if (read_in_flight_ || unknown.empty()) return;
  read_in_flight_ = true;
  const auto next = unknown.upper_bound(last_read_id_);
  last_read_id_ = next == unknown.end() ? *unknown.begin() : *next;
  read(last_read_id_);
}

void DependencyReader::read(const std::string& id) {
  store_.read(RequestPriority::Record, wire::item_path(keys::kFinished + id),
              generation_.unless_reloaded(
                  [this, id](const HttpResult& result) { on_response(id, result); }));
}

void DependencyReader::on_response(const std::string& id, const HttpResult& result) {
  read_in_flight_ = false;
  const auto record = parse_finished_record(result);
  if (!record)
    return generation_.schedule_unless_reloaded(retry_delay_s_, [this] { read_unknown(); });
  on_record_read_(id, *record);
  read_unknown();
}

}  // namespace sumacquay
