#include "wire/store_messages.h"

#include <utility>

#include "wire/codec.h"
#include "wire/field_names.h"

namespace sumacquay::wire {
namespace {

using codec::pack_field;
using codec::pack_list;
using codec::pack_text;
using codec::Packer;

std::optional<StoreItem> read_item(View item) {
  const auto key = item[field::kKey].text();
  const auto version = item[field::kVersion].unsigned_integer();
  if (!key || !version) return std::nullopt;
  return StoreItem{*key, item[field::kValue], *version};
}

std::optional<StoreItem> read_change(View change) {
  const auto version = change[field::kVersion].unsigned_integer();
  if (!version) return std::nullopt;
  if (const auto key = change[field::kSet].text())
    return StoreItem{*key, change[field::kValue], *version};
  if (const auto key = change[field::kDelete].text()) return StoreItem{*key, View(), *version};
  return std::nullopt;
}

using ReadItem = std::optional<StoreItem> (*)(View);

/// Parses a response with a list in the field `list_name`.
std::optional<StorePage> parse_list(std::string_view body, const char* list_name, ReadItem read) {
  StorePage page;
  page.document = Document::parse(body);
  if (!page.document) return std::nullopt;
  const View root = page.document->root();
  const View list = root[list_name];
  const auto revision = root[field::kRevision].unsigned_integer();
  if (!list.is_list() || !revision) return std::nullopt;
  page.revision = *revision;
  page.more = root[field::kMore].flag().value_or(false);
  auto items = codec::read_list(list, read);
  if (!items) return std::nullopt;
  page.items = std::move(*items);
  return page;
}

void pack_precondition(Packer& packer, const Precondition& precondition) {
  packer.pack_map(2);
  pack_field(packer, field::kKey, precondition.key);
  pack_field(packer, field::kVersion, precondition.version);
}

/// `buffer` is the buffer that `packer` writes to.
void pack_mutation(codec::Buffer& buffer, Packer& packer, const Mutation& mutation) {
  if (mutation.value.empty()) {
    packer.pack_map(1);
    pack_field(packer, field::kDelete, mutation.key);
    return;
  }
  packer.pack_map(mutation.lease ? 3 : 2);
  pack_field(packer, field::kSet, mutation.key);
  pack_text(packer, field::kValue);
  buffer.write(mutation.value.data(), mutation.value.size());  // already encoded
  if (mutation.lease) pack_field(packer, field::kLease, mutation.lease);
}

}  // namespace

std::string item_path(const std::string& key) {
  return std::string(path::kStore) + "/" + key;
}

std::optional<StorePage> parse_item(std::string_view body) {
  StorePage page;
  page.document = Document::parse(body);
  if (!page.document) return std::nullopt;
  auto item = read_item(page.document->root());
  if (!item) return std::nullopt;
  page.items.push_back(std::move(*item));
  return page;
}

std::string page_path(const std::string& prefix, const std::string& after, int limit) {
  std::string target =
      std::string(path::kStore) + "?under=" + prefix + "&most=" + std::to_string(limit);
  if (!after.empty()) target += "&after=" + after;
  return target;
}

std::optional<StorePage> parse_page(std::string_view body) {
  return parse_list(body, "items", read_item);
}

std::string changes_path(const std::string& prefix, uint64_t after, uint64_t wait_ms) {
  return std::string(path::kChanges) + "?under=" + prefix + "&after=" + std::to_string(after) +
         "&block_ms=" + std::to_string(wait_ms);
}

std::optional<StorePage> parse_changes(std::string_view body) {
  return parse_list(body, "log", read_change);
}

std::string transaction_body(const std::vector<Precondition>& preconditions,
                             const std::vector<Mutation>& mutations) {
  codec::Buffer buffer;
  Packer packer(buffer);
  packer.pack_map(2);
  pack_text(packer, "guards");
  pack_list(packer, preconditions, pack_precondition);
  pack_text(packer, "apply");
  pack_list(packer, mutations,
            [&](Packer&, const Mutation& mutation) { pack_mutation(buffer, packer, mutation); });
  return {buffer.data(), buffer.size()};
}

std::optional<uint64_t> parse_revision(std::string_view body) {
  return codec::read_root<uint64_t>(
      body, [](View root) { return root[field::kRevision].unsigned_integer(); });
}

std::vector<std::string> parse_failed_keys(std::string_view body) {
  const auto document = Document::parse(body);
  if (!document) return {};
  return codec::read_texts(document->root()["failed"]);
}

std::string lease_request_body(uint64_t ttl_ms) {
  return codec::pack_message([&](Packer& packer) {
    packer.pack_map(1);
    pack_field(packer, "life_ms", ttl_ms);
  });
}

std::optional<uint64_t> parse_lease_id(std::string_view body) {
  return codec::read_root<uint64_t>(
      body, [](View root) { return root[field::kLease].unsigned_integer(); });
}

std::string lease_path(uint64_t lease) {
  return std::string(path::kLeases) + "/" + std::to_string(lease);
}

std::string lease_renewal_path(uint64_t lease) {
  return lease_path(lease) + "/renew";
}

}  // namespace sumacquay::wire
