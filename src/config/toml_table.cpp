#include "config/toml_table.h"

#include <charconv>
#include <cmath>
#include <utility>

namespace sumacquay {

TomlTable::TomlTable(const std::string& source, std::string path, const toml::table* table)
    : source_(source), path_(std::move(path)), table_(table) {}

TomlTable TomlTable::child(const char* name) const {
  const toml::table* table = table_->get_as<toml::table>(name);
  if (!table) throw_field_error(name, "missing table");
  return {source_, path_of(name), table};
}

std::optional<TomlTable> TomlTable::optional_child(const char* name) const {
  const toml::node* node = table_->get(name);
  if (!node) return std::nullopt;
  if (!node->is_table()) throw_field_error(name, "must be a table");
  return TomlTable(source_, path_of(name), node->as_table());
}

std::vector<TomlTable> TomlTable::children(const char* name) const {
  std::vector<TomlTable> tables;
  const toml::node* node = table_->get(name);
  if (!node) return tables;
  const toml::array* list = node->as_array();
  if (!list) throw_field_error(name, "must be a list of tables");
  for (size_t i = 0; i < list->size(); ++i) {
    const std::string path = path_of(name) + "[" + std::to_string(i) + "]";
    const toml::table* table = (*list)[i].as_table();
    if (!table) throw_setting_error(source_, path, "must be a table");
    tables.emplace_back(source_, path, table);
  }
  return tables;
}

std::string TomlTable::string(const char* name) const {
  const auto* value = table_->get_as<std::string>(name);
  if (!value || value->get().empty()) throw_field_error(name, "must be a text that is not empty");
  return value->get();
}

std::string TomlTable::string_or(const char* name, const std::string& fallback) const {
  return table_->contains(name) ? string(name) : fallback;
}

std::vector<std::string> TomlTable::strings(const char* name) const {
  std::vector<std::string> texts;
  const toml::array* list = table_->get_as<toml::array>(name);
  if (!list) throw_field_error(name, "must be a list of texts");
  for (const auto& item : *list) {
    if (!item.is_string()) throw_field_error(name, "must be a list of texts");
    texts.push_back(item.as_string()->get());
  }
  return texts;
}

double TomlTable::number(const char* name, SettingRange range) const {
  const toml::node* node = table_->get(name);
  std::optional<double> value;
  if (node && node->is_number()) value = node->value<double>();
  if (!value || !std::isfinite(*value)) throw_field_error(name, "must be a number");
  check_range(source_, path_of(name), *value, range);
  return *value;
}

double TomlTable::number_or(const char* name, double fallback, SettingRange range) const {
  return table_->contains(name) ? number(name, range) : fallback;
}

Endpoint TomlTable::endpoint(const char* name) const {
  constexpr const char* kExpected = "must be address:port";
  constexpr unsigned kMaxPort = 65535;
  const std::string value = string(name);
  const auto colon = value.rfind(':');
  if (colon == std::string::npos || colon == 0) throw_field_error(name, kExpected);
  unsigned port = 0;
  const char* const end = value.data() + value.size();
  const auto [parsed_end, error] = std::from_chars(value.data() + colon + 1, end, port);
  if (error != std::errc() || parsed_end != end || port > kMaxPort)
    throw_field_error(name, kExpected);
  return Endpoint{value.substr(0, colon), static_cast<unsigned short>(port)};
}

std::string TomlTable::path_of(const char* name) const {
  return path_.empty() ? name : path_ + "." + name;
}

void TomlTable::throw_field_error(const char* name, const std::string& why) const {
  throw_setting_error(source_, path_of(name), why);
}

}  // namespace sumacquay
