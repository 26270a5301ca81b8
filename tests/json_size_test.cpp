// The sizes of values in JSON form, compared with texts from a simple reference writer.
#include "wire/json_size.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>

#include "generators.h"

namespace sumacquay {
namespace {

using testing::check_property;
using Packer = msgpack::packer<msgpack::sbuffer>;

/// One value in MessagePack and in JSON form.
struct Forms {
  msgpack::sbuffer packed;
  std::string json;
};

struct Character {
  std::string text, json;
};

const std::vector<Character>& characters() {
  static const std::vector<Character> all{{"a", "a"},
                                          {"/", "/"},
                                          {"\"", "\\\""},
                                          {"\\", "\\\\"},
                                          {"\x01", "\\u0001"},
                                          {"\x7f", "\\u007f"},
                                          {"\xc3\xa9", "\\u00e9"},
                                          {"\xe6\xbc\xa2", "\\u6f22"},
                                          {"\xf0\x9f\x98\x80", "\\ud83d\\ude00"}};
  return all;
}

void add_text(Forms& forms) {
  std::string text;
  forms.json += '"';
  for (int remaining = *rc::gen::inRange(0, 40); remaining > 0; --remaining) {
    const Character& character = *rc::gen::elementOf(characters());
    text += character.text;
    forms.json += character.json;
  }
  forms.json += '"';
  Packer(forms.packed).pack(text);
}

void add_integer(Forms& forms) {
  const auto positive = *rc::gen::arbitrary<uint64_t>();
  const auto any = *rc::gen::arbitrary<int64_t>();
  if (*rc::gen::arbitrary<bool>()) {
    Packer(forms.packed).pack(positive);
    forms.json += std::to_string(positive);
  } else {
    Packer(forms.packed).pack(any);
    forms.json += std::to_string(any);
  }
}

/// Adds a multiple of a quarter that is not whole: a whole number would be packed as an integer.
void add_real(Forms& forms) {
  const double number = *rc::gen::inRange(-1000000, 1000000) + *rc::gen::inRange(1, 4) / 4.0;
  Packer(forms.packed).pack(number);
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%.2f", number);
  std::string json = text.data();
  if (json.back() == '0') json.pop_back();
  forms.json += json;
}

void add_literal(Forms& forms) {
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      Packer(forms.packed).pack_nil();
      forms.json += "null";
      break;
    case 1:
      Packer(forms.packed).pack_true();
      forms.json += "true";
      break;
    default:
      Packer(forms.packed).pack_false();
      forms.json += "false";
  }
}

void add_value(Forms& forms, int depth);

void add_list(Forms& forms, int depth) {
  const auto members = *rc::gen::inRange<uint32_t>(0, 5);
  Packer(forms.packed).pack_array(members);
  forms.json += '[';
  for (uint32_t i = 0; i < members; ++i) {
    if (i > 0) forms.json += ',';
    add_value(forms, depth + 1);
  }
  forms.json += ']';
}

void add_map(Forms& forms, int depth) {
  const auto members = *rc::gen::inRange<uint32_t>(0, 5);
  Packer(forms.packed).pack_map(members);
  forms.json += '{';
  for (uint32_t i = 0; i < members; ++i) {
    if (i > 0) forms.json += ',';
    add_text(forms);
    forms.json += ':';
    add_value(forms, depth + 1);
  }
  forms.json += '}';
}

void add_value(Forms& forms, int depth) {
  constexpr int kMaxDepth = 5;
  switch (*rc::gen::inRange(0, depth < kMaxDepth ? 6 : 4)) {
    case 0:
      return add_literal(forms);
    case 1:
      return add_integer(forms);
    case 2:
      return add_real(forms);
    case 3:
      return add_text(forms);
    case 4:
      return add_list(forms, depth);
    default:
      return add_map(forms, depth);
  }
}

TEST(JsonSize, EqualsSizeOfReferenceText) {
  EXPECT_TRUE(check_property("sizes agree", [] {
    Forms forms;
    add_value(forms, 0);
    const auto document =
        wire::Document::parse(std::string_view(forms.packed.data(), forms.packed.size()));
    RC_ASSERT(document != nullptr);
    RC_ASSERT(wire::json_size(document->root()) == forms.json.size());
  }));
}

size_t size_of_real(double number) {
  const msgpack::object object(number);
  return wire::json_size(wire::View(&object));
}

TEST(JsonSize, CountsLongestUsualFormOfRealNumbers) {
  EXPECT_EQ(size_of_real(0), std::string("0.0").size());
  EXPECT_EQ(size_of_real(1e12), std::string("1000000000000.0").size());
  EXPECT_EQ(size_of_real(1e-5), std::string("0.00001").size());
  EXPECT_EQ(size_of_real(0.1), std::string("0.1").size());
  EXPECT_GE(size_of_real(-1.7976931348623157e308), std::string("-1.7976931348623157e+308").size());
  EXPECT_GE(size_of_real(5e-324), std::string("5e-324").size());
}

TEST(JsonSize, CountsInvalidUtf8AsReplacementCharacters) {
  constexpr size_t kQuotes = 2;
  constexpr size_t kEscape = 6;
  EXPECT_EQ(wire::json_size(std::string_view("\x80\x80")), kQuotes + 2 * kEscape);
  EXPECT_EQ(wire::json_size(std::string_view("\xc3\xa9\xa9")), kQuotes + 2 * kEscape);
  EXPECT_EQ(wire::json_size(std::string_view("\xe6"
                                             "a")),
            kQuotes + kEscape + 1);
}

TEST(JsonSize, DoesNotRecurseIntoNestedValues) {
  constexpr int kDepth = 200000;
  std::vector<msgpack::object> lists(kDepth);
  for (int i = 0; i < kDepth; ++i) {
    lists[i].type = msgpack::type::ARRAY;
    lists[i].via.array.size = i + 1 < kDepth ? 1 : 0;
    lists[i].via.array.ptr = i + 1 < kDepth ? &lists[i + 1] : nullptr;
  }
  EXPECT_EQ(wire::json_size(wire::View(lists.data())), 2u * kDepth);
}

TEST(JsonSize, OfMissingValueIsZero) {
  EXPECT_EQ(wire::json_size(wire::View()), 0u);
}

}  // namespace
}  // namespace sumacquay
