#include "config/settings_error.h"

#include <cmath>
#include <fstream>
#include <sstream>

namespace sumacquay {

void throw_setting_error(const std::string& source, const std::string& field,
                         const std::string& why) {
  throw SettingsError(source + ": " + field + ": " + why);
}

void check_range(const std::string& source, const std::string& field, double value,
                 SettingRange range) {
  if (std::isfinite(value) && value >= range.min && value <= range.max) return;
  std::ostringstream why;
  why << "must be from " << range.min << " to " << range.max;
  throw_setting_error(source, field, why.str());
}

std::string read_settings_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw SettingsError(path + ": can't be read");
  std::ostringstream content;
  content << file.rdbuf();
  if (file.bad()) throw SettingsError(path + ": can't be read");
  return content.str();
}

}  // namespace sumacquay
