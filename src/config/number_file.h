#pragma once
#include <string>
#include <vector>

#include "config/settings_error.h"

/// Files in the operators' format: flat lines of `name = number`, with # comments, as in HCL.
namespace sumacquay {

/// A number that a file may set.
struct NumberField {
  const char* name;
  double* value;  ///< the default; replaced if the file sets the field
  SettingRange range;
  bool whole = false;  ///< only whole numbers will do
};

/// Reads the fields; throws SettingsError for an unknown one, and for a value out of its range.
/// `source` names the file in errors.
void read_numbers(const std::string& text, const std::string& source,
                  const std::vector<NumberField>& fields);

}  // namespace sumacquay
