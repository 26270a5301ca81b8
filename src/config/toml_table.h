#pragma once
#include <toml++/toml.h>

#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "config/settings_error.h"

/// Access to required and optional fields of the platform's TOML file. Internal to src/config.
namespace sumacquay {

/// One table of the file, with its path for error messages. Every accessor throws SettingsError if
/// a required field is missing or a field has the wrong type. `source` and the parsed file must
/// outlive this object.
class TomlTable {
 public:
  TomlTable(const std::string& source, std::string path, const toml::table* table);

  /// A required table.
  TomlTable child(const char* name) const;

  /// An optional table.
  std::optional<TomlTable> optional_child(const char* name) const;

  /// An optional array of tables; empty if it is missing.
  std::vector<TomlTable> children(const char* name) const;

  /// A required, non-empty string.
  std::string string(const char* name) const;
  /// An optional, non-empty string; `fallback` if it is missing.
  std::string string_or(const char* name, const std::string& fallback) const;
  /// A required array of strings.
  std::vector<std::string> strings(const char* name) const;

  /// A required number in the range.
  double number(const char* name, SettingRange range) const;
  /// An optional number in the range; `fallback`, which is not checked, if it is missing.
  double number_or(const char* name, double fallback, SettingRange range) const;

  /// A required string of the form address:port.
  Endpoint endpoint(const char* name) const;

 private:
  std::string path_of(const char* name) const;
  [[noreturn]] void throw_field_error(const char* name, const std::string& why) const;

  const std::string& source_;
  std::string path_;
  const toml::table* table_;
};

}  // namespace sumacquay
