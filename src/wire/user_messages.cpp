#include "wire/user_messages.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"
#include "wire/enum_names.h"
#include "wire/field_names.h"
#include "wire/job_spec_codec.h"

namespace sumacquay::wire {
namespace {

using codec::Fields;
using codec::pack_field;
using codec::pack_message;
using codec::Packer;

ParsedJob invalid_job(std::string error, std::string id) {
  return {std::nullopt, std::move(error), std::move(id)};
}

}  // namespace

bool valid_job_id(std::string_view id) {
  constexpr std::string_view kPrefix = "job-";
  constexpr size_t kMaxBytes = 64;
  if (id.size() <= kPrefix.size() || id.size() > kMaxBytes) return false;
  if (!id.starts_with(kPrefix)) return false;
  const std::string_view number = id.substr(kPrefix.size());
  return std::all_of(number.begin(), number.end(),
                     [](char digit) { return digit >= '0' && digit <= '9'; });
}

ParsedJob parse_job(std::string_view body) {
  const auto document = Document::parse(body);
  if (!document) return invalid_job("not MessagePack", {});
  const View root = document->root();
  if (!root.is_map()) return invalid_job("not a map", {});
  std::string id = root[field::kId].text_or("");
  if (!valid_job_id(id)) id.clear();
  Fields fields(root);
  JobSpec spec;
  codec::read_spec(fields, spec);
  if (!fields.ok()) return invalid_job(fields.error(), std::move(id));
  return {std::move(spec), {}, std::move(id)};
}

std::string job_state_body(const std::string& id, UserVisibleState state) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(2);
    pack_field(packer, field::kId, id);
    pack_field(packer, field::kState, name_of(enum_names::kUserVisibleStates, state));
  });
}

std::string job_status_body(const std::string& id, UserVisibleState state, uint32_t done,
                            uint32_t running) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(4);
    pack_field(packer, field::kId, id);
    pack_field(packer, field::kState, name_of(enum_names::kUserVisibleStates, state));
    pack_field(packer, "done", uint64_t{done});
    pack_field(packer, "running", uint64_t{running});
  });
}

std::string error_body(const std::string& error) {
  return pack_message([&](Packer& packer) {
    packer.pack_map(1);
    pack_field(packer, "error", error);
  });
}

}  // namespace sumacquay::wire
