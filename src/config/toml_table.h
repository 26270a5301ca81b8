#pragma once
#include <toml++/toml.h>

#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "config/settings_error.h"

/// Reading of required and optional fields from the platform's TOML file. Private to src/config.
namespace sumacquay {

/// One table of the file with the path that error messages name. Every read throws SettingsError
/// if the field is missing or of another type. `source` and the parsed file have to outlive it.
class TomlTable {
 public:
  TomlTable(const std::string& source, std::string path, const toml::table* table);

  /// A table that must be there.
  TomlTable child(const char* name) const;

  /// A table that may be missing.
  std::optional<TomlTable> optional_child(const char* name) const;

  /// A list of tables; empty if it is missing.
  std::vector<TomlTable> children(const char* name) const;

  /// A text that isn't empty.
  std::string text(const char* name) const;
  /// The same, or the fallback if the field is missing.
  std::string text_or(const char* name, const std::string& fallback) const;
  /// A list of texts.
  std::vector<std::string> texts(const char* name) const;

  /// A number in the range.
  double number(const char* name, SettingRange range) const;
  /// The same, or the fallback, which is not checked, if the field is missing.
  double number_or(const char* name, double fallback, SettingRange range) const;

  /// An address and a port with a colon between.
  Endpoint endpoint(const char* name) const;

 private:
  std::string path_of(const char* name) const;
  [[noreturn]] void refuse(const char* name, const std::string& why) const;

  const std::string& source_;
  std::string path_;
  const toml::table* table_;
};

}  // namespace sumacquay
