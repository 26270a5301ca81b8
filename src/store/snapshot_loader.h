#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "store/key_value_store_client.h"
#include "store/load_generation.h"
#include "wire/store_messages.h"

namespace sumacquay {

/// Loads a snapshot of the records from the key-value store, page by page. Called by RecordCache.
/// Record contents are opaque to it.
class SnapshotLoader {
 public:
  /// Callbacks for loaded items and for the end of the snapshot.
  struct Callbacks {
    std::function<void(const wire::StoreItem& item)> item;  ///< called for each item, in order
    /// Called once, at the end. The watch must start at this revision.
    std::function<void(uint64_t first_revision)> loaded;
  };

  SnapshotLoader(KeyValueStoreClient& store, LoadGeneration& generation, double retry_delay_s,
                 Callbacks callbacks);

  /// Loads all pages and retries failed reads. The caller must first abandon any load in progress
  /// by advancing the generation.
  void load() { load_page({}); }

 private:
  /// Progress of the load.
  struct Position {
    size_t prefix = 0;  ///< index into load_order()
    std::string after;  ///< last loaded key of the prefix; empty: none
    /// Revision of the first page; 0 if nothing was ever written to the store.
    std::optional<uint64_t> first_revision;
  };

  void load_page(const Position& position);
  void on_page(Position position, const wire::StorePage& page);

  KeyValueStoreClient& store_;
  LoadGeneration& generation_;
  double retry_delay_s_;  ///< delay after a failed read
  Callbacks callbacks_;
};

}  // namespace sumacquay
