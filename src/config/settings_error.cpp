#include "config/settings_error.h"

#include <cmath>
#include <fstream>
#include <sstream>

namespace sumacquay {

void refuse_setting(const std::string& source, const std::string& field, const std::string& why) {
  throw SettingsError(source + ": " + field + ": " + why);
}

void check_range(const std::string& source, const std::string& field, double value,
                 SettingRange range) {
  if (std::isfinite(value) && value >= range.least && value <= range.most) return;
  std::ostringstream why;
  why << "must be from " << range.least << " to " << range.most;
  refuse_setting(source, field, why.str());
}

std::string read_settings_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError(path + ": can't be read");
  std::ostringstream out;
  out << in.rdbuf();
  if (in.bad()) throw SettingsError(path + ": can't be read");
  return out.str();
}

}  // namespace sumacquay
