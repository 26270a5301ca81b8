#include "store/snapshot_loader.h"

#include <utility>
#include <vector>

#include "store/keys.h"

namespace sumacquay {
namespace {

constexpr int kMaxItemsPerPage = 200;

/// The key prefixes that are loaded, in this order. Finished jobs are read on demand instead.
const std::vector<std::string>& load_order() {
  static const std::vector<std::string> prefixes{keys::kLeader, keys::kTerm, keys::kHost,
                                                 keys::kLive};
  return prefixes;
}

}  // namespace

SnapshotLoader::SnapshotLoader(KeyValueStoreClient& store, LoadGeneration& generation,
                               double retry_delay_s, Callbacks callbacks)
    : store_(store),
      generation_(generation),
      retry_delay_s_(retry_delay_s),
      callbacks_(std::move(callbacks)) {}

void SnapshotLoader::load_page(const Position& position) {
  const std::string target =
      wire::page_path(load_order()[position.prefix], position.after, kMaxItemsPerPage);
  const auto on_response = [this, position](const HttpResult& result) {
    const auto page = result.ok() ? wire::parse_page(result.body) : std::nullopt;
    if (page) return on_page(position, *page);
    generation_.schedule_unless_reloaded(retry_delay_s_, [this, position] { load_page(position); });
  };
  store_.read(RequestPriority::Record, target, generation_.unless_reloaded(on_response));
}

void SnapshotLoader::on_page(Position position, const wire::StorePage& page) {
  // The watch starts at the first page's revision, so that no change between pages is missed.
  if (!position.first_revision) position.first_revision = page.revision;
  for (const auto& item : page.items) callbacks_.item(item);
  if (page.more && !page.items.empty()) {
    position.after = page.items.back().key;
    return load_page(position);
  }
  position.after.clear();
  ++position.prefix;
  if (position.prefix < load_order().size()) return load_page(position);
  callbacks_.loaded(*position.first_revision);
}

}  // namespace sumacquay
