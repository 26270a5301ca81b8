#pragma once
#include <cmath>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace sumacquay::wire {

/// Read-only accessor of a decoded MessagePack value. Reading a value that is missing or has
/// another type returns none, an empty View or the given fallback.
class View {
 public:
  View() = default;
  explicit View(const msgpack::object* object) : object_(object) {}

  bool is_map() const { return object_ && object_->type == msgpack::type::MAP; }
  bool is_list() const { return object_ && object_->type == msgpack::type::ARRAY; }
  bool missing() const { return !object_ || object_->type == msgpack::type::NIL; }

  View operator[](std::string_view name) const {
    if (!is_map()) return {};
    const auto& map = object_->via.map;
    for (uint32_t i = 0; i < map.size; ++i)
      if (View(&map.ptr[i].key).text_view() == name) return View(&map.ptr[i].val);
    return {};
  }

  /// Number of members of a list; 0 if the value is not a list.
  size_t size() const { return is_list() ? object_->via.array.size : 0; }

  /// The list member at index `i`, which must be less than `size()`.
  View at(size_t i) const { return View(&object_->via.array.ptr[i]); }

  /// The decoded value itself, for traversals that accept any type; null if the value is missing.
  const msgpack::object* object() const { return object_; }

  std::optional<std::string_view> text_view() const {
    if (!object_ || object_->type != msgpack::type::STR) return std::nullopt;
    return std::string_view(object_->via.str.ptr, object_->via.str.size);
  }
  std::optional<std::string> text() const {
    const auto view = text_view();
    return view ? std::optional<std::string>(std::string(*view)) : std::nullopt;
  }
  std::string text_or(std::string fallback) const { return text().value_or(std::move(fallback)); }

  std::optional<double> number() const {
    if (!object_) return std::nullopt;
    switch (object_->type) {
      case msgpack::type::POSITIVE_INTEGER:
        return static_cast<double>(object_->via.u64);
      case msgpack::type::NEGATIVE_INTEGER:
        return static_cast<double>(object_->via.i64);
      case msgpack::type::FLOAT32:
      case msgpack::type::FLOAT64:
        if (!std::isfinite(object_->via.f64)) return std::nullopt;
        return object_->via.f64;
      default:
        return std::nullopt;
    }
  }

  std::optional<uint64_t> unsigned_integer() const {
    if (!object_ || object_->type != msgpack::type::POSITIVE_INTEGER) return std::nullopt;
    return object_->via.u64;
  }

  std::optional<bool> flag() const {
    if (!object_ || object_->type != msgpack::type::BOOLEAN) return std::nullopt;
    return object_->via.boolean;
  }

 private:
  const msgpack::object* object_ = nullptr;
};

/// A decoded body. The memory and stack that a malicious body can claim are bounded by the body's
/// size and by a limit on the depth of nesting.
class Document {
 public:
  /// Returns null if the bytes are not exactly one complete MessagePack value or if the value is
  /// nested too deeply.
  [[nodiscard]] static std::shared_ptr<Document> parse(std::string_view bytes);
  View root() const { return View(&handle_.get()); }

 private:
  msgpack::object_handle handle_;
  std::string bytes_;  ///< strings of the decoded value point into this buffer
};

}  // namespace sumacquay::wire
