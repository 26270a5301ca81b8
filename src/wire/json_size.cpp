#include "wire/json_size.h"

#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace sumacquay::wire {
namespace {

// Sizes of JSON tokens in bytes.
constexpr size_t kQuotes = 2;
constexpr size_t kBrackets = 2;
constexpr size_t kShortEscape = 2;    // e.g. \n
constexpr size_t kUnicodeEscape = 6;  // e.g. \u0000
constexpr size_t kNull = 4;
constexpr size_t kTrue = 4;
constexpr size_t kFalse = 5;

using PendingValues = std::vector<const msgpack::object*>;

// Lowest values of the kinds of bytes in UTF-8 sequences.
constexpr unsigned char kMinContinuationByte = 0x80;
constexpr unsigned char kMinLeadByte = 0xc0;
constexpr unsigned char kMinLeadByteOfThree = 0xe0;
constexpr unsigned char kMinLeadByteOfFour = 0xf0;

size_t ascii_size(unsigned char byte) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  if (byte == '"' || byte == '\\') return kShortEscape;
  return byte < kFirstPrintable || byte == kDelete ? kUnicodeEscape : 1;
}

/// Number of continuation bytes after the lead byte of a multi-byte UTF-8 sequence.
int continuation_bytes_after(unsigned char lead) {
  if (lead >= kMinLeadByteOfFour) return 3;
  return lead >= kMinLeadByteOfThree ? 2 : 1;
}

size_t negative_size(int64_t number) {
  return 1 + decimal_size(uint64_t{0} - static_cast<uint64_t>(number));
}

/// The platform formats numbers as JavaScript does: fixed notation from 1e-6 up to 1e21, scientific
/// notation otherwise.
size_t floating_point_size(double number) {
  constexpr double kMinFixed = 1e-6;
  constexpr double kMaxFixed = 1e21;
  constexpr size_t kMaxBytes = 64;
  constexpr size_t kPointZero = 2;
  if (!std::isfinite(number)) return kNull;
  const double magnitude = std::abs(number);
  const bool fixed = magnitude == 0 || (magnitude >= kMinFixed && magnitude < kMaxFixed);
  std::array<char, kMaxBytes> text{};
  const auto* end = std::to_chars(text.data(), text.data() + text.size(), number,
                                  fixed ? std::chars_format::fixed : std::chars_format::scientific)
                        .ptr;
  const auto size = static_cast<size_t>(end - text.data());
  return std::trunc(number) == number ? size + kPointZero : size;
}

/// Size of the brackets of a list or map and of the commas between its members.
size_t brackets_and_commas_size(uint32_t members) {
  return kBrackets + (members > 0 ? members - 1 : 0);
}

size_t list_size(const msgpack::object_array& list, PendingValues& pending) {
  for (uint32_t i = 0; i < list.size; ++i) pending.push_back(&list.ptr[i]);
  return brackets_and_commas_size(list.size);
}

/// JSON keys are strings, so keys of other types are counted with quotes.
size_t map_size(const msgpack::object_map& map, PendingValues& pending) {
  size_t size = brackets_and_commas_size(map.size);
  for (uint32_t i = 0; i < map.size; ++i) {
    pending.push_back(&map.ptr[i].key);
    pending.push_back(&map.ptr[i].val);
    ++size;  // the colon
    if (map.ptr[i].key.type != msgpack::type::STR) size += kQuotes;
  }
  return size;
}

/// Size of a value without its members, which are added to `pending`.
size_t shallow_size(const msgpack::object& value, PendingValues& pending) {
  switch (value.type) {
    case msgpack::type::BOOLEAN:
      return value.via.boolean ? kTrue : kFalse;
    case msgpack::type::POSITIVE_INTEGER:
      return decimal_size(value.via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
      return negative_size(value.via.i64);
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      return floating_point_size(value.via.f64);
    case msgpack::type::STR:
      return json_size(std::string_view(value.via.str.ptr, value.via.str.size));
    case msgpack::type::ARRAY:
      return list_size(value.via.array, pending);
    case msgpack::type::MAP:
      return map_size(value.via.map, pending);
    default:
      return kNull;  // nil; bodies contain no other types
  }
}

}  // namespace

size_t decimal_size(uint64_t number) {
  size_t digits = 1;
  for (; number >= 10; number /= 10) ++digits;
  return digits;
}

size_t json_size(std::string_view text) {
  size_t size = kQuotes;
  int missing_bytes = 0;  // continuation bytes still expected for the current character
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte >= kMinContinuationByte && byte < kMinLeadByte && missing_bytes > 0) {
      --missing_bytes;
      continue;
    }
    missing_bytes = byte >= kMinLeadByte ? continuation_bytes_after(byte) : 0;
    if (byte < kMinContinuationByte)
      size += ascii_size(byte);
    else  // a four-byte sequence is escaped as a surrogate pair
      size += byte >= kMinLeadByteOfFour ? 2 * kUnicodeEscape : kUnicodeEscape;
  }
  return size;
}

size_t json_size(View value) {
  if (!value.object()) return 0;
  PendingValues pending{value.object()};
  size_t size = 0;
  while (!pending.empty()) {
    const msgpack::object* next = pending.back();
    pending.pop_back();
    size += shallow_size(*next, pending);
  }
  return size;
}

}  // namespace sumacquay::wire
