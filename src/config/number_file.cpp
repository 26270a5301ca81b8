#include "config/number_file.h"

#include <confuse.h>

#include <array>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <memory>

namespace sumacquay {
namespace {

using Parser = std::unique_ptr<cfg_t, decltype(&cfg_free)>;

/// libconfuse reports errors to a callback without a user data parameter, so the text is static.
std::string& parser_error() {
  static std::string text;
  return text;
}

void record_parser_error(cfg_t* parser, const char* format, va_list arguments) {
  std::array<char, 300> text{};
  vsnprintf(text.data(), text.size(), format, arguments);
  const int line = parser ? parser->line : 0;
  parser_error() = "line " + std::to_string(line) + ": " + text.data();
}

/// The fields as libconfuse options, terminated by an end marker as the library requires.
std::vector<cfg_opt_t> libconfuse_options(const std::vector<NumberField>& fields) {
  std::vector<cfg_opt_t> options;
  options.reserve(fields.size() + 1);
  for (const auto& field : fields)
    options.push_back(CFG_FLOAT(field.name, *field.value, CFGF_NONE));
  options.push_back(CFG_END());
  return options;
}

void parse_text(const Parser& parser, const std::string& text, const std::string& source) {
  parser_error() = "not a list of settings";
  cfg_set_error_function(parser.get(), record_parser_error);
  if (cfg_parse_buf(parser.get(), text.c_str()) == CFG_SUCCESS) return;
  throw SettingsError(source + ": " + parser_error());
}

}  // namespace

void read_numbers(const std::string& text, const std::string& source,
                  const std::vector<NumberField>& fields) {
  std::vector<cfg_opt_t> options = libconfuse_options(fields);
  const Parser parser(cfg_init(options.data(), CFGF_NONE), cfg_free);
  if (!parser) throw SettingsError(source + ": can't be read");
  parse_text(parser, text, source);
  for (const auto& field : fields) {
    const double value = cfg_getfloat(parser.get(), field.name);
    check_range(source, field.name, value, field.range);
    if (field.whole && value != std::floor(value))
      throw_setting_error(source, field.name, "must be a whole number");
    *field.value = value;
  }
}

}  // namespace sumacquay
