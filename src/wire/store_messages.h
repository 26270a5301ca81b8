#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/view.h"

/// Requests to the key-value store and its responses: items, pages, changes, compare-and-swap
/// transactions and leases. Values are opaque to this module (see records.h). Called by the store
/// client, the record cache and the front end.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kStore = "/store";
inline constexpr const char* kTransaction = "/multi";
inline constexpr const char* kLeases = "/grants";
inline constexpr const char* kChanges = "/changes";
}  // namespace path

/// A key with its value, or a change of a key.
struct StoreItem {
  std::string key;
  View value;  ///< missing if the key was deleted
  uint64_t version = 0;
};

/// Items or changes in one response. Copies share the document.
struct StorePage {
  std::shared_ptr<Document> document;  ///< owns the memory that the items refer to
  std::vector<StoreItem> items;
  bool more = false;
  uint64_t revision = 0;
};

/// Condition on a key for a transaction to be committed.
struct Precondition {
  std::string key;
  uint64_t version = 0;  ///< 0: the key does not exist
};

/// Change that a transaction makes to a key.
struct Mutation {
  std::string key;
  std::string value;   ///< encoded; empty: delete the key
  uint64_t lease = 0;  ///< lease that the value expires with; 0: it does not expire
};

/// Path of a request for one key.
std::string item_path(const std::string& key);

/// Parses the response as a page of one item; `revision` and `more` are not set.
std::optional<StorePage> parse_item(std::string_view body);

/// Path of a request for at most `limit` keys with the prefix, after the key `after`; if `after` is
/// empty, the page starts with the first key.
std::string page_path(const std::string& prefix, const std::string& after, int limit);

/// Parses a page of keys; none if any item is invalid.
std::optional<StorePage> parse_page(std::string_view body);

/// Path of a request for the changes of keys with the prefix since the revision `after`. The store
/// waits up to `wait_ms` for a change.
std::string changes_path(const std::string& prefix, uint64_t after, uint64_t wait_ms);

/// Parses changes, which may be in any order; none if any change is invalid.
std::optional<StorePage> parse_changes(std::string_view body);

/// Encodes a transaction: all mutations are applied if every precondition holds, otherwise none.
std::string transaction_body(const std::vector<Precondition>& preconditions,
                             const std::vector<Mutation>& mutations);

/// Parses the revision at which a transaction was committed.
std::optional<uint64_t> parse_revision(std::string_view body);

/// Parses the keys whose preconditions failed; empty if the body is invalid.
std::vector<std::string> parse_failed_keys(std::string_view body);

/// Encodes a request for a lease with this time to live.
std::string lease_request_body(uint64_t ttl_ms);

/// Parses the id of a granted lease.
std::optional<uint64_t> parse_lease_id(std::string_view body);

/// Path of a lease; a DELETE request revokes the lease.
std::string lease_path(uint64_t lease);

/// Path of a request to renew a lease.
std::string lease_renewal_path(uint64_t lease);

}  // namespace sumacquay::wire
