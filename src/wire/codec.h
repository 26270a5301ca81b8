#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/view.h"

/// Helpers shared by the message modules of this directory: packing MessagePack maps and lists,
/// mapping enumerators to their names on the wire, and reading required fields and lists.
/// Independent of any particular message. Private to src/wire and src/simulators.
namespace sumacquay::wire::codec {

using Buffer = msgpack::sbuffer;
using Packer = msgpack::packer<Buffer>;

/// Returns the bytes that `pack` writes to a packer.
template <class Pack>
std::string pack_message(Pack&& pack) {
  Buffer buffer;
  Packer packer(buffer);
  pack(packer);
  return {buffer.data(), buffer.size()};
}

inline void pack_text(Packer& packer, std::string_view text) {
  const auto size = static_cast<uint32_t>(text.size());
  packer.pack_str(size);
  packer.pack_str_body(text.data(), size);
}

inline void pack_flag(Packer& packer, bool flag) {
  if (flag)
    packer.pack_true();
  else
    packer.pack_false();
}

/// Packs the header of a list; the caller packs its `size` members next.
inline void pack_list(Packer& packer, size_t size) {
  packer.pack_array(static_cast<uint32_t>(size));
}

/// Packs a list; `pack_member(packer, member)` packs one member.
template <class List, class PackMember>
void pack_list(Packer& packer, const List& members, PackMember&& pack_member) {
  pack_list(packer, members.size());
  for (const auto& member : members) pack_member(packer, member);
}

template <class Texts>
void pack_texts(Packer& packer, const Texts& texts) {
  pack_list(packer, texts, pack_text);
}

// Each overload packs one field of a map: its name, then its value.

inline void pack_field(Packer& packer, std::string_view name, std::string_view value) {
  pack_text(packer, name);
  pack_text(packer, value);
}
inline void pack_field(Packer& packer, std::string_view name, uint64_t value) {
  pack_text(packer, name);
  packer.pack_uint64(value);
}
inline void pack_field(Packer& packer, std::string_view name, double value) {
  pack_text(packer, name);
  packer.pack_double(value);
}
inline void pack_field(Packer& packer, std::string_view name, bool value) {
  pack_text(packer, name);
  pack_flag(packer, value);
}

/// Name of one enumerator on the wire.
template <class Enum>
struct EnumName {
  Enum value;
  std::string_view text;
};

template <class Enum, size_t N>
using EnumNames = std::array<EnumName<Enum>, N>;

/// Name of an enumerator on the wire; empty if it has none.
template <class Enum, size_t N>
std::string_view name_of(const EnumNames<Enum, N>& names, Enum value) {
  for (const auto& name : names)
    if (name.value == value) return name.text;
  return {};
}

/// Enumerator with this name on the wire; none if the name is missing or unknown.
template <class Enum, size_t N>
std::optional<Enum> value_of(const EnumNames<Enum, N>& names, View name_on_wire) {
  const auto text = name_on_wire.text_view();
  for (const auto& name : names)
    if (text == name.text) return name.value;
  return std::nullopt;
}

/// Reads a list. `read_member` takes the View of a member and returns an optional; the result is
/// none if any member is invalid. A value that is not a list reads as an empty list.
template <class ReadMember>
auto read_list(View list, ReadMember&& read_member) {
  using Member = typename decltype(read_member(list))::value_type;
  std::optional<std::vector<Member>> members(std::in_place);
  for (size_t i = 0; i < list.size(); ++i) {
    auto member = read_member(list.at(i));
    if (!member) return std::optional<std::vector<Member>>();
    members->push_back(std::move(*member));
  }
  return members;
}

/// Reads a list of strings; members of other types read as empty strings.
inline std::vector<std::string> read_texts(View list) {
  std::vector<std::string> texts;
  for (size_t i = 0; i < list.size(); ++i) texts.push_back(list.at(i).text_or(""));
  return texts;
}

/// Reads the required fields of a map and records the first one that is missing or invalid.
class Fields {
 public:
  explicit Fields(View map) : map_(map) {}

  /// A string of `min_bytes` to `max_bytes` bytes.
  std::string text(const char* name, size_t min_bytes = 0, size_t max_bytes = SIZE_MAX) {
    auto value = map_[name].text();
    if (value && value->size() >= min_bytes && value->size() <= max_bytes) return std::move(*value);
    record_invalid(name);
    return {};
  }

  /// A number from 0 to `kMaxAmount`.
  double non_negative_number(const char* name) {
    const auto value = map_[name].number();
    if (value && *value >= 0 && *value <= kMaxAmount) return *value;
    record_invalid(name);
    return 0;
  }

  bool flag(const char* name) {
    const auto value = map_[name].flag();
    if (!value) record_invalid(name);
    return value.value_or(false);
  }

  uint64_t unsigned_integer(const char* name, uint64_t min = 0, uint64_t max = UINT64_MAX) {
    const auto value = map_[name].unsigned_integer();
    if (value && *value >= min && *value <= max) return *value;
    record_invalid(name);
    return min;
  }

  template <class Enum, size_t N>
  Enum enumerator(const char* name, const EnumNames<Enum, N>& names) {
    const auto value = value_of(names, map_[name]);
    if (!value) record_invalid(name);
    return value.value_or(names[0].value);
  }

  /// An optional field, not validated.
  View operator[](const char* name) const { return map_[name]; }

  void record_invalid(const char* name) {
    if (error_.empty()) error_ = std::string("missing or invalid field: ") + name;
  }

  /// Error text that names the first missing or invalid field; empty if there is none.
  const std::string& error() const { return error_; }
  [[nodiscard]] bool ok() const { return error_.empty(); }

  /// Returns `message` if all required fields were valid, otherwise none.
  template <class Message>
  std::optional<Message> if_ok(Message message) const {
    if (!ok()) return std::nullopt;
    return message;
  }

 private:
  /// Keeps sums of amounts finite and sufficiently exact.
  static constexpr double kMaxAmount = 1e12;
  View map_;
  std::string error_;
};

/// Parses a body and reads its root value with `read`; none if the body is not valid MessagePack or
/// `read` rejects it.
template <class Message, class Read>
std::optional<Message> read_root(std::string_view body, Read&& read) {
  const auto document = Document::parse(body);
  if (!document) return std::nullopt;
  return read(document->root());
}

}  // namespace sumacquay::wire::codec
