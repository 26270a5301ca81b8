#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "wire/view.h"

/// Helpers that the message modules of this directory share: packing MessagePack maps, spelling
/// enumerators, and reading required fields. Private to src/wire and to the simulators of
/// src/simulators.
namespace sumacquay::wire::codec {

using Buffer = msgpack::sbuffer;
using Packer = msgpack::packer<Buffer>;

/// The bytes of what `fill` packs.
template <class Fill>
std::string build(Fill&& fill) {
  Buffer buffer;
  Packer packer(buffer);
  fill(packer);
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

/// Starts a list; its `size` members follow.
inline void pack_list(Packer& packer, size_t size) {
  packer.pack_array(static_cast<uint32_t>(size));
}

template <class Texts>
void pack_texts(Packer& packer, const Texts& texts) {
  pack_list(packer, texts.size());
  for (const auto& text : texts) pack_text(packer, text);
}

// One field of a map: its name and its value.

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

/// How one enumerator is spelled on the wire.
template <class Enum>
struct EnumName {
  Enum value;
  std::string_view text;
};

template <class Enum, size_t N>
using EnumNames = std::array<EnumName<Enum>, N>;

/// The spelling of a value; empty if it has none.
template <class Enum, size_t N>
std::string_view name_of(const EnumNames<Enum, N>& spellings, Enum value) {
  for (const auto& enum_names : spellings)
    if (enum_names.value == value) return enum_names.text;
  return {};
}

/// The value that is spelled so; none if it is no known spelling.
template <class Enum, size_t N>
std::optional<Enum> value_of(const EnumNames<Enum, N>& spellings, View spelled) {
  const auto text = spelled.text_view();
  for (const auto& enum_names : spellings)
    if (text == enum_names.text) return enum_names.value;
  return std::nullopt;
}

/// Reads the required fields of a map and remembers the first that is missing or invalid.
class Fields {
 public:
  explicit Fields(View map) : map_(map) {}

  std::string text(const char* name, size_t least, size_t most) {
    auto value = map_[name].text();
    if (value && value->size() >= least && value->size() <= most) return *value;
    record_invalid(name);
    return {};
  }

  /// A quantity: not negative, and finite.
  double amount(const char* name) {
    const auto value = map_[name].number();
    if (value && *value >= 0 && *value <= kMostAmount) return *value;
    record_invalid(name);
    return 0;
  }

  bool flag(const char* name) {
    const auto value = map_[name].flag();
    if (!value) record_invalid(name);
    return value.value_or(false);
  }

  uint64_t count(const char* name, uint64_t least, uint64_t most) {
    const auto value = map_[name].count();
    if (value && *value >= least && *value <= most) return *value;
    record_invalid(name);
    return least;
  }

  template <class Enum, size_t N>
  Enum choice(const char* name, const EnumNames<Enum, N>& spellings) {
    const auto value = value_of(spellings, map_[name]);
    if (!value) record_invalid(name);
    return value.value_or(spellings[0].value);
  }

  /// A field that may be missing, as it is.
  View operator[](const char* name) const { return map_[name]; }

  void record_invalid(const char* name) {
    if (error_.empty()) error_ = std::string("missing or invalid field: ") + name;
  }

  /// Names the first invalid field; empty: there is none.
  const std::string& error() const { return error_; }
  bool ok() const { return error_.empty(); }

 private:
  static constexpr double kMostAmount = 1e12;
  View map_;
  std::string error_;
};

/// Decodes a body and reads its root; none if it isn't MessagePack or `read` finds it invalid.
template <class Message, class Read>
std::optional<Message> read_root(std::string_view body, Read&& read) {
  const auto document = Document::parse(body);
  if (!document) return std::nullopt;
  return read(document->root());
}

}  // namespace sumacquay::wire::codec
