#include "wire/view.h"

#include <new>

namespace sumacquay::wire {

std::shared_ptr<Document> Document::parse(std::string_view bytes) {
  constexpr size_t kMaxDepth = 16;
  auto document = std::make_shared<Document>();
  document->bytes_ = std::string(bytes);
  // The header of a list, map or string may claim a size of up to 2^32, but no value can have more
  // members or bytes than the body has bytes.
  const size_t max_length = bytes.size();
  const msgpack::unpack_limit limit(max_length, max_length, max_length, 0, 0, kMaxDepth);
  // Strings refer to `bytes_` instead of being copied.
  const auto refer_to_bytes = [](msgpack::type::object_type, std::size_t, void*) { return true; };
  try {
    size_t parsed_bytes = 0;
    document->handle_ = msgpack::unpack(document->bytes_.data(), document->bytes_.size(),
                                        parsed_bytes, refer_to_bytes, nullptr, limit);
    if (parsed_bytes != bytes.size()) return nullptr;
  } catch (const msgpack::unpack_error&) {
    return nullptr;
  } catch (const std::bad_alloc&) {
    return nullptr;
  }
  return document;
}

}  // namespace sumacquay::wire
