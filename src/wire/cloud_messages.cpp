#include "wire/cloud_messages.h"

#include <utility>

#include "wire/codec.h"
#include "wire/enum_names.h"
#include "wire/field_names.h"

namespace sumacquay::wire {
namespace {

using codec::Fields;
using codec::pack_field;
using codec::pack_message;
using codec::Packer;

constexpr size_t kMaxTypeNameBytes = 200;
/// Names are parts of keys in the store, which have at most 200 bytes including a prefix.
constexpr size_t kMaxNameBytes = 150;

std::optional<MachineType> read_type(View map) {
  Fields fields(map);
  MachineType type;
  type.name = fields.text("sku", 1, kMaxTypeNameBytes);
  type.capacity.cpus = fields.non_negative_number(field::kCpus);
  type.capacity.gpus = fields[field::kGpus].number().value_or(0);
  type.capacity.memory_gb = fields.non_negative_number(field::kMemory);
  type.cache_gb = fields.non_negative_number("local_gb");
  type.fetch_gb_per_s = fields.non_negative_number("fetch_gb_per_s");
  type.price = fields.non_negative_number("hourly");
  type.spot_price = fields["market_price"].number().value_or(type.price);
  type.boot_s = fields.non_negative_number("boot_s");
  type.zones = codec::read_texts(fields["halls"]);
  return fields.if_ok(std::move(type));
}

std::optional<std::vector<MachineType>> read_types(View root) {
  const View list = root[field::kTypes];
  if (!list.is_list()) return std::nullopt;
  return codec::read_list(list, read_type);
}

std::optional<ListedMachine> read_machine(View map) {
  Fields fields(map);
  ListedMachine machine;
  machine.id = fields.text(field::kId, 1, kMaxNameBytes);
  machine.addr = fields[field::kAddress].text_or("");
  machine.type = fields.text(field::kType, 0, kMaxNameBytes);
  machine.zone = fields.text(field::kZone, 0, kMaxNameBytes);
  machine.spot = fields.flag(field::kSpot);
  machine.state = fields.enumerator(field::kState, enum_names::kMachineStates);
  machine.age_s = fields["age_s"].number().value_or(0);
  return fields.if_ok(std::move(machine));
}

std::optional<MachinePage> read_machines(View root) {
  const View list = root[field::kMachines];
  if (!list.is_list()) return std::nullopt;
  auto machines = codec::read_list(list, read_machine);
  if (!machines) return std::nullopt;
  return MachinePage{std::move(*machines), root[field::kMore].flag().value_or(false)};
}

std::optional<std::vector<std::string>> read_scale_out_response(View root) {
  const View list = root[field::kMachines];
  if (!list.is_list()) return std::nullopt;
  std::vector<std::string> machines;
  for (size_t i = 0; i < list.size(); ++i) {
    const auto id = list.at(i).text();
    if (id) machines.push_back(*id);
  }
  return machines;
}

}  // namespace

std::optional<std::vector<MachineType>> parse_types(std::string_view body) {
  return codec::read_root<std::vector<MachineType>>(body, read_types);
}

std::string machines_path(const std::string& after, int limit) {
  std::string target = std::string(path::kMachines) + "?most=" + std::to_string(limit);
  if (!after.empty()) target += "&after=" + after;
  return target;
}

std::optional<MachinePage> parse_machines(std::string_view body) {
  return codec::read_root<MachinePage>(body, read_machines);
}

std::string scale_out_body(const std::string& request_name, const std::string& type,
                           const std::string& zone, bool spot, int count) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(5);
    pack_field(packer, "hire", request_name);
    pack_field(packer, field::kType, type);
    pack_field(packer, field::kZone, zone);
    pack_field(packer, field::kSpot, spot);
    pack_field(packer, "how_many", static_cast<uint64_t>(count));
  });
}

std::optional<std::vector<std::string>> parse_scale_out_response(std::string_view body) {
  return codec::read_root<std::vector<std::string>>(body, read_scale_out_response);
}

std::string release_body(const std::vector<std::string>& machines) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(1);
    codec::pack_text(packer, field::kMachines);
    codec::pack_texts(packer, machines);
  });
}

}  // namespace sumacquay::wire
