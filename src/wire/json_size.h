#pragma once
#include <cstddef>
#include <string_view>

#include "wire/view.h"

/// How large values are in compact JSON form, in which the platform counts the limits on sizes
/// although bodies are MessagePack. The frontend and whatever decides on records call it.
///
/// Serializers differ; each size here is that of the longest usual form, so that what fits by it
/// fits by any of them: characters outside ASCII are escaped, and whole floating-point numbers end
/// in ".0".
namespace sumacquay::wire {

/// The bytes of a value in JSON form; 0 if there is none. Takes no more stack for a nested value.
size_t json_size(View value);

/// The bytes of a text in JSON form, with its quotes.
size_t json_size(std::string_view text);

}  // namespace sumacquay::wire
