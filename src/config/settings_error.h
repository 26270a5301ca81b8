#pragma once
#include <stdexcept>
#include <string>

/// Errors in settings files, shared by the readers of the platform's and the operators' files. The
/// program prints the error and does not start.
namespace sumacquay {

/// A settings file can't be used; what() is one line that names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The valid values of a number, both bounds included.
struct SettingRange {
  double min;
  double max;
};

/// Throws a SettingsError for a field. `source` is the file name.
[[noreturn]] void throw_setting_error(const std::string& source, const std::string& field,
                                      const std::string& why);

/// Throws SettingsError unless the value is finite and in the range.
void check_range(const std::string& source, const std::string& field, double value,
                 SettingRange range);

/// Returns the content of the file; throws SettingsError if it can't be read.
std::string read_settings_file(const std::string& path);

}  // namespace sumacquay
