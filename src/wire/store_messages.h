#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/view.h"

/// Requests to the key-value store and its answers: items, pages, changes, compare-and-swap
/// transactions and leases. What the values hold is not known here (see records.h). The store
/// client, the record cache and the front end call it.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kStore = "/store";
inline constexpr const char* kTransaction = "/multi";
inline constexpr const char* kGrants = "/grants";
inline constexpr const char* kChanges = "/changes";
}  // namespace path

/// One key with its value, or one change of a key.
struct StoreItem {
  std::string key;
  View value;  ///< missing: deleted
  uint64_t version = 0;
};

/// Items or changes of one answer. Copies share the document.
struct StorePage {
  std::shared_ptr<Document> document;  ///< owns what the items look at
  std::vector<StoreItem> items;
  bool more = false;
  uint64_t revision = 0;
};

/// What a key must be for a transaction to be carried out.
struct Precondition {
  std::string key;
  uint64_t version = 0;  ///< 0: the key does not exist
};

/// What a transaction does to a key.
struct Mutation {
  std::string key;
  std::string value;   ///< encoded; empty: delete
  uint64_t lease = 0;  ///< the value lasts as long as this lease; 0: until it is changed
};

/// Asks for one key.
std::string item_path(const std::string& key);

/// Reads the answer as a page of one item; its revision and `more` are not set.
std::optional<StorePage> parse_item(std::string_view body);

/// Asks for at most `limit` keys with the prefix, after the named key; from the first if it is
/// empty.
std::string page_path(const std::string& prefix, const std::string& after, int limit);

/// Reads such a page; none if any item on it is invalid.
std::optional<StorePage> parse_page(std::string_view body);

/// Asks for the changes of keys with the prefix since a revision, and to wait for one that long.
std::string changes_path(const std::string& prefix, uint64_t after, uint64_t wait_ms);

/// Reads such changes; none if any of them is invalid. They may be in any order.
std::optional<StorePage> parse_changes(std::string_view body);

/// A transaction: all mutations are made if every precondition holds, else none.
std::string transaction_body(const std::vector<Precondition>& preconditions,
                             const std::vector<Mutation>& mutations);

/// Reads the revision at which a transaction was carried out.
std::optional<uint64_t> parse_revision(std::string_view body);

/// Reads the keys whose preconditions failed; empty if they can't be read.
std::vector<std::string> parse_failed(std::string_view body);

/// Asks for a lease of this length.
std::string grant_body(uint64_t ttl_ms);

/// Reads the lease that was granted.
std::optional<uint64_t> parse_lease(std::string_view body);

/// The path of a lease, which a DELETE there ends.
std::string grant_path(uint64_t lease);

/// The path that renews a lease.
std::string renew_path(uint64_t lease);

}  // namespace sumacquay::wire
