#pragma once
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "wire/view.h"

/// Sizes of values in compact JSON form. The platform's size limits apply to that form, although
/// bodies are encoded as MessagePack. Called by the front end and by the code that limits the size
/// of records.
///
/// Serializers differ. Each size is that of the longest common form, so a value that fits by this
/// measure fits with any serializer: characters outside ASCII are escaped, and whole floating-point
/// numbers end in ".0".
namespace sumacquay::wire {

/// Size of a value in bytes; 0 if the value is missing. Iterative: stack use does not grow with the
/// depth of nesting.
size_t json_size(View value);

/// Size of a string in bytes, including its quotes.
size_t json_size(std::string_view text);

/// Number of decimal digits of a number, its size in bytes.
size_t decimal_size(uint64_t number);

}  // namespace sumacquay::wire
