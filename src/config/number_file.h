#pragma once
#include <string>
#include <vector>

#include "config/settings_error.h"

/// Files in the operators' format: lines of `name = number` without nesting, with # comments, as in
/// HCL.
namespace sumacquay {

/// A number that a file may set, with its valid range.
struct NumberField {
  const char* name;
  double* value;  ///< holds the default; replaced if the file sets the field
  SettingRange range;
  bool whole = false;  ///< whether the value must be a whole number
};

/// Reads the fields. Throws SettingsError for an unknown field and for a value out of its range.
/// `source` names the file in errors.
void read_numbers(const std::string& text, const std::string& source,
                  const std::vector<NumberField>& fields);

}  // namespace sumacquay
