#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "store/key_value_store_client.h"
#include "store/load_generation.h"
#include "wire/store_messages.h"

namespace sumacquay {

/// Loads a snapshot of the records from the state service, page by page. RecordCache calls it. It
/// does not know what the records mean.
class SnapshotLoader {
 public:
  /// Who is told of loaded items and of the end of the snapshot.
  struct Callbacks {
    std::function<void(const wire::StoreItem& item)> item;  ///< for each item, in order
    /// Once, at the end. Changes have to be followed from this revision on.
    std::function<void(uint64_t first_revision)> loaded;
  };

  SnapshotLoader(KeyValueStoreClient& store, LoadGeneration& generation, double retry_s,
                 Callbacks callbacks);

  /// Loads all pages; one that can't be read is asked for again. A load that is in progress has to
  /// be abandoned before, by advancing the generation.
  void load() { load_page({}); }

 private:
  /// How far the load has come.
  struct Position {
    size_t prefix = 0;  ///< index into the prefixes that are loaded
    std::string after;  ///< the last key that was loaded; empty: none
    /// Of the first page, which is 0 in a service where nothing was ever written.
    std::optional<uint64_t> first_revision;
  };

  void load_page(const Position& position);
  void on_page(Position position, const wire::StorePage& page);

  KeyValueStoreClient& store_;
  LoadGeneration& generation_;
  double retry_s_;  ///< from a failed read to the next
  Callbacks callbacks_;
};

}  // namespace sumacquay
