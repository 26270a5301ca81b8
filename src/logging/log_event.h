#pragma once
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <iterator>
#include <string>
#include <string_view>
#include <type_traits>

/// Structured logging. Every line is one event, `event=NAME key=value ...`. All events are written
/// through `log`, so that a key has the same meaning on every line. docs/operations.md lists the
/// events and their use for operators.
namespace sumacquay {

/// One field of an event. Holds a reference to the value, which must outlive the call to `log`.
template <class Value>
struct LogField {
  std::string_view key;
  const Value& value;
};

template <class Value>
LogField<Value> log_field(std::string_view key, const Value& value) {
  return {key, value};
}

namespace log_detail {

/// The text as a single token of a log line: quoted and escaped if it is empty or contains spaces,
/// quotes or equals signs. Line breaks become spaces.
std::string quoted_if_needed(std::string_view text);

template <class Value>
void append(fmt::memory_buffer& line, const LogField<Value>& field) {
  const auto out = std::back_inserter(line);
  if constexpr (std::is_convertible_v<const Value&, std::string_view>)
    fmt::format_to(out, " {}={}", field.key, quoted_if_needed(field.value));
  else if constexpr (std::is_floating_point_v<Value>)
    fmt::format_to(out, " {}={:.3f}", field.key, field.value);
  else
    fmt::format_to(out, " {}={}", field.key, field.value);
}

}  // namespace log_detail

/// Writes one event. If the level is disabled, the cost is one comparison.
template <class... Values>
void log(spdlog::level::level_enum level, std::string_view event,
         const LogField<Values>&... fields) {
  if (!spdlog::should_log(level)) return;
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "event={}", event);
  (log_detail::append(line, fields), ...);
  spdlog::log(level, std::string_view(line.data(), line.size()));
}

template <class... Values>
void log_debug(std::string_view event, const LogField<Values>&... fields) {
  log(spdlog::level::debug, event, fields...);
}
template <class... Values>
void log_info(std::string_view event, const LogField<Values>&... fields) {
  log(spdlog::level::info, event, fields...);
}
template <class... Values>
void log_warning(std::string_view event, const LogField<Values>&... fields) {
  log(spdlog::level::warn, event, fields...);
}
template <class... Values>
void log_error(std::string_view event, const LogField<Values>&... fields) {
  log(spdlog::level::err, event, fields...);
}

}  // namespace sumacquay
