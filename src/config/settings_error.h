#pragma once
#include <stdexcept>
#include <string>

/// How a settings file is refused. The readers of both files share it; the program prints the error
/// and does not start.
namespace sumacquay {

/// A settings file that can't be used; what() is one line that names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The values that a number may have, both ends included.
struct SettingRange {
  double min;
  double max;
};

/// Throws the error of a field. `source` names the file.
[[noreturn]] void refuse_setting(const std::string& source, const std::string& field,
                                 const std::string& why);

/// Throws unless the value is a number in the range.
void check_range(const std::string& source, const std::string& field, double value,
                 SettingRange range);

/// The whole file; throws SettingsError if it can't be read.
std::string read_settings_file(const std::string& path);

}  // namespace sumacquay
