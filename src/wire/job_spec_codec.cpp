#include "wire/job_spec_codec.h"

#include <unordered_set>
#include <utility>

#include "wire/field_names.h"
#include "wire/user_messages.h"

namespace sumacquay::wire::codec {
namespace {

constexpr size_t kMaxNameBytes = 200;
constexpr size_t kMaxTypes = 64;
constexpr uint64_t kMaxTasks = 100000;  ///< limit set by the protocol
constexpr uint32_t kRequiredFields = 17;

// Names in the protocol of the fields that occur only in job descriptions.
constexpr const char* kJobClass = "pattern";
constexpr const char* kTeam = "guild";
constexpr const char* kKind = "weave";
constexpr const char* kPriority = "urgency";
constexpr const char* kImage = "bolt";
constexpr const char* kImageSize = "image_gb";
constexpr const char* kOneZone = "together";
constexpr const char* kSpread = "scatter";
constexpr const char* kEstimatedDuration = "reckon_s";
constexpr const char* kCheckpointInterval = "mark_s";
constexpr const char* kCheckpointDuration = "stow_s";
constexpr const char* kDeadline = "due_s";
constexpr const char* kDependencies = "awaits";

constexpr EnumNames<JobKind, 3> kKinds{
    {{JobKind::Array, "sweep"}, {JobKind::Gang, "ensemble"}, {JobKind::Service, "service"}}};
constexpr EnumNames<Priority, 4> kPriorities{{{Priority::Production, "production"},
                                              {Priority::High, "high"},
                                              {Priority::Normal, "normal"},
                                              {Priority::Low, "best_effort"}}};

/// Reads the machine types that the job may run on; a missing field allows any type.
void read_types(Fields& fields, JobSpec& spec) {
  const View types = fields[field::kTypes];
  if (types.missing()) return;
  if (!types.is_list() || types.size() > kMaxTypes) fields.record_invalid(field::kTypes);
  spec.types.emplace();
  for (size_t i = 0; i < types.size() && fields.ok(); ++i) {
    const auto type = types.at(i).text();
    if (!type || type->size() > kMaxNameBytes)
      fields.record_invalid(field::kTypes);
    else
      spec.types->push_back(*type);
  }
}

/// Reads the dependencies of the job, without duplicates; a missing field means none.
void read_dependencies(Fields& fields, JobSpec& spec) {
  const View dependencies = fields[kDependencies];
  if (dependencies.missing()) return;
  if (!dependencies.is_list()) return fields.record_invalid(kDependencies);
  std::unordered_set<std::string> seen;
  for (size_t i = 0; i < dependencies.size(); ++i) {
    auto id = dependencies.at(i).text();
    if (!id || !valid_job_id(*id)) return fields.record_invalid(kDependencies);
    if (seen.insert(*id).second) spec.dependencies.push_back(std::move(*id));
  }
}

uint32_t count_fields(const JobSpec& spec) {
  uint32_t count = kRequiredFields;
  if (spec.types) ++count;
  if (spec.zone) ++count;
  if (spec.deadline_s) ++count;
  if (!spec.dependencies.empty()) ++count;
  return count;
}

}  // namespace

void read_spec(Fields& fields, JobSpec& spec) {
  spec.id = fields.text(field::kId, 1, kMaxNameBytes);
  if (fields.ok() && !valid_job_id(spec.id)) fields.record_invalid(field::kId);
  spec.job_class = fields.text(kJobClass, 0, kMaxNameBytes);
  spec.team = fields.text(kTeam, 0, kMaxNameBytes);
  spec.kind = fields.enumerator(kKind, kKinds);
  spec.priority = fields.enumerator(kPriority, kPriorities);
  spec.tasks = static_cast<uint32_t>(fields.unsigned_integer(field::kTasks, 1, kMaxTasks));
  spec.request.cpus = fields.non_negative_number(field::kCpus);
  spec.request.gpus = fields.non_negative_number(field::kGpus);
  spec.request.memory_gb = fields.non_negative_number(field::kMemory);
  spec.image = fields.text(kImage, 0, kMaxNameBytes);
  spec.image_gb = fields.non_negative_number(kImageSize);
  read_types(fields, spec);
  if (!fields[field::kZone].missing()) spec.zone = fields.text(field::kZone, 0, kMaxNameBytes);
  spec.one_zone = fields.flag(kOneZone);
  spec.spread = fields.flag(kSpread);
  spec.spot = fields.flag(field::kSpot);
  spec.estimate_s = fields.non_negative_number(kEstimatedDuration);
  spec.checkpoint_interval_s = fields.non_negative_number(kCheckpointInterval);
  spec.checkpoint_duration_s = fields.non_negative_number(kCheckpointDuration);
  if (!fields[kDeadline].missing()) spec.deadline_s = fields.non_negative_number(kDeadline);
  read_dependencies(fields, spec);
}

void pack_spec(Packer& packer, const JobSpec& spec) {
  packer.pack_map(count_fields(spec));
  pack_field(packer, field::kId, spec.id);
  pack_field(packer, kJobClass, spec.job_class);
  pack_field(packer, kTeam, spec.team);
  pack_field(packer, kKind, name_of(kKinds, spec.kind));
  pack_field(packer, kPriority, name_of(kPriorities, spec.priority));
  pack_field(packer, field::kTasks, uint64_t{spec.tasks});
  pack_field(packer, field::kCpus, spec.request.cpus);
  pack_field(packer, field::kGpus, spec.request.gpus);
  pack_field(packer, field::kMemory, spec.request.memory_gb);
  pack_field(packer, kImage, spec.image);
  pack_field(packer, kImageSize, spec.image_gb);
  if (spec.types) {
    pack_text(packer, field::kTypes);
    pack_texts(packer, *spec.types);
  }
  if (spec.zone) pack_field(packer, field::kZone, *spec.zone);
  pack_field(packer, kOneZone, spec.one_zone);
  pack_field(packer, kSpread, spec.spread);
  pack_field(packer, field::kSpot, spec.spot);
  pack_field(packer, kEstimatedDuration, spec.estimate_s);
  pack_field(packer, kCheckpointInterval, spec.checkpoint_interval_s);
  pack_field(packer, kCheckpointDuration, spec.checkpoint_duration_s);
  if (spec.deadline_s) pack_field(packer, kDeadline, *spec.deadline_s);
  if (spec.dependencies.empty()) return;
  pack_text(packer, kDependencies);
  pack_texts(packer, spec.dependencies);
}

}  // namespace sumacquay::wire::codec
