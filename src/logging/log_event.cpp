#include "logging/log_event.h"

namespace sumacquay::log_detail {

std::string quoted_if_needed(std::string_view text) {
  constexpr std::string_view kQuotedCharacters = " \t\r\n\"=";
  if (!text.empty() && text.find_first_of(kQuotedCharacters) == std::string_view::npos)
    return std::string(text);
  std::string quoted = "\"";
  for (const char character : text) {
    if (character == '"' || character == '\\') quoted += '\\';
    quoted += character == '\n' || character == '\r' ? ' ' : character;
  }
  return quoted + '"';
}

}  // namespace sumacquay::log_detail
