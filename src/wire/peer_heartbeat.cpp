#include "wire/peer_heartbeat.h"

#include <algorithm>
#include <compare>
#include <map>
#include <utility>

#include "wire/codec.h"

namespace sumacquay::wire {
namespace {

using codec::pack_field;
using codec::pack_list;
using codec::pack_text;
using codec::Packer;

constexpr const char* kNode = "node";
constexpr const char* kTerm = "term";
constexpr const char* kLeading = "leading";
constexpr const char* kStoreReachable = "served";
constexpr const char* kPart = "part";
constexpr const char* kStatus = "status";
constexpr const char* kDelegation = "delegation";
constexpr const char* kJobProgress = "counts";
constexpr const char* kImages = "images";
constexpr const char* kCachedImages = "held";
constexpr const char* kBooting = "booting";
constexpr const char* kFragment = "piece";

// Lists within a heartbeat identify their fields by position. Numbers of fields:
constexpr size_t kStatusFields = 3;  ///< plus one after answers given under a delegation
constexpr size_t kDelegationFields = 3;
constexpr size_t kFragmentFields = 4;
constexpr size_t kPeerHeartbeatFields = 10;  ///< plus one each for a delegation and a fragment
constexpr size_t kJobProgressFields = 3;
constexpr size_t kImageFields = 2;
constexpr size_t kBootingFields = 5;

void pack_status(Packer& packer, const DelegationStatus& status) {
  pack_list(packer, status.last_answer_age_s ? kStatusFields + 1 : kStatusFields);
  packer.pack_uint64(status.incarnation);
  packer.pack_uint64(status.term);
  packer.pack_uint64(status.issued_at_ms);
  if (status.last_answer_age_s) packer.pack_double(*status.last_answer_age_s);
}

void pack_delegation(Packer& packer, const Delegation& delegation) {
  pack_list(packer, kDelegationFields);
  packer.pack_uint64(delegation.term);
  packer.pack_uint64(delegation.issued_at_ms);
  packer.pack_double(delegation.valid_for_s);
}

void pack_fragment(Packer& packer, const PeerHeartbeatFragment& fragment) {
  pack_list(packer, kFragmentFields);
  packer.pack_uint64(fragment.batch_number);
  packer.pack_uint64(fragment.index);
  packer.pack_uint64(fragment.fragment_count);
  packer.pack_uint64(static_cast<uint64_t>(fragment.part));
}

void pack_job_progress(Packer& packer, const JobProgress& progress) {
  pack_list(packer, kJobProgressFields);
  pack_text(packer, progress.job);
  packer.pack_uint32(progress.done);
  packer.pack_uint32(progress.running);
}

/// An image with its size; the same name with a different size is a different image.
struct Image {
  std::string_view name;
  double gb = 0;
  auto operator<=>(const Image&) const = default;
};

/// The distinct images of a heartbeat, and the images that each machine caches.
class ImageTable {
 public:
  explicit ImageTable(const std::vector<CachedImageHint>& cached) {
    for (const auto& image : cached)
      images_by_machine_[image.machine].push_back({image.image, image.gb});
    for (const auto& [machine, images] : images_by_machine_)
      for (const Image& image : images) add(image);
  }

  void pack_images(Packer& packer) const {
    pack_list(packer, images_, [](Packer& list, const Image& image) {
      pack_list(list, kImageFields);
      pack_text(list, image.name);
      list.pack_double(image.gb);
    });
  }

  /// Packs one list per machine: its name, then the indices of its images.
  void pack_cached_images(Packer& packer) const {
    pack_list(packer, images_by_machine_.size());
    for (const auto& [machine, images] : images_by_machine_) {
      pack_list(packer, images.size() + 1);
      pack_text(packer, machine);
      for (const Image& image : images) packer.pack_uint32(indices_.at(image));
    }
  }

 private:
  void add(const Image& image) {
    const auto index = static_cast<uint32_t>(images_.size());
    if (indices_.try_emplace(image, index).second) images_.push_back(image);
  }

  std::map<std::string_view, std::vector<Image>> images_by_machine_;
  std::map<Image, uint32_t> indices_;
  std::vector<Image> images_;  ///< by index
};

void pack_booting_machine(Packer& packer, const ListedMachine& machine) {
  pack_list(packer, kBootingFields);
  pack_text(packer, machine.id);
  pack_text(packer, machine.type);
  pack_text(packer, machine.zone);
  codec::pack_flag(packer, machine.spot);
  packer.pack_double(machine.age_s);
}

DelegationStatus read_status(View list) {
  DelegationStatus status;
  if (list.size() < kStatusFields || list.size() > kStatusFields + 1) return status;
  status.incarnation = list.at(0).unsigned_integer().value_or(0);
  status.term = list.at(1).unsigned_integer().value_or(0);
  status.issued_at_ms = list.at(2).unsigned_integer().value_or(0);
  if (list.size() > kStatusFields) status.last_answer_age_s = list.at(3).number();
  return status;
}

std::optional<Delegation> read_delegation(View list) {
  if (list.size() != kDelegationFields) return std::nullopt;
  const auto term = list.at(0).unsigned_integer();
  const auto issued_at_ms = list.at(1).unsigned_integer();
  const auto valid_for_s = list.at(2).number();
  if (!term || !issued_at_ms || !valid_for_s) return std::nullopt;
  return Delegation{*term, *issued_at_ms, *valid_for_s};
}

std::optional<JobProgress> read_job_progress(View list) {
  if (list.size() != kJobProgressFields) return std::nullopt;
  const auto job = list.at(0).text();
  const auto done = list.at(1).unsigned_integer();
  const auto running = list.at(2).unsigned_integer();
  if (!job || !done || !running) return std::nullopt;
  return JobProgress{*job, static_cast<uint32_t>(*done), static_cast<uint32_t>(*running)};
}

/// Reads one cached image of a machine from its index in the list of images.
std::optional<CachedImageHint> read_image(const std::string& machine, View encoded_index,
                                          View images) {
  const auto index = encoded_index.unsigned_integer();
  if (!index || *index >= images.size()) return std::nullopt;
  const View image = images.at(*index);
  if (image.size() != kImageFields) return std::nullopt;
  const auto name = image.at(0).text();
  const auto gb = image.at(1).number();
  if (!name || !gb) return std::nullopt;
  return CachedImageHint{machine, *name, *gb};
}

/// Reads the cached images of one machine: its name, then the indices of its images.
bool read_machine_images(View entry, View images, std::vector<CachedImageHint>& cached) {
  const auto machine = entry.size() > 0 ? entry.at(0).text() : std::nullopt;
  if (!machine) return false;
  for (size_t position = 1; position < entry.size(); ++position) {
    auto image = read_image(*machine, entry.at(position), images);
    if (!image) return false;
    cached.push_back(std::move(*image));
  }
  return true;
}

std::optional<std::vector<CachedImageHint>> read_cached_images(View entries, View images) {
  std::vector<CachedImageHint> cached;
  for (size_t i = 0; i < entries.size(); ++i)
    if (!read_machine_images(entries.at(i), images, cached)) return std::nullopt;
  return cached;
}

std::optional<ListedMachine> read_booting_machine(View list) {
  if (list.size() != kBootingFields) return std::nullopt;
  const auto id = list.at(0).text();
  const auto type = list.at(1).text();
  const auto zone = list.at(2).text();
  const auto spot = list.at(3).flag();
  const auto age_s = list.at(4).number();
  if (!id || !type || !zone || !spot || !age_s) return std::nullopt;
  return ListedMachine{*id, "", *type, *zone, *spot, ListedMachine::State::Booting, *age_s};
}

std::optional<PeerHeartbeatPart> read_part(View value) {
  const uint64_t part = value.unsigned_integer().value_or(0);
  if (part > static_cast<uint64_t>(PeerHeartbeatPart::SuccessorHints)) return std::nullopt;
  return static_cast<PeerHeartbeatPart>(part);
}

std::optional<PeerHeartbeatFragment> read_fragment(View list) {
  if (list.size() != kFragmentFields) return std::nullopt;
  const auto batch_number = list.at(0).unsigned_integer();
  const auto index = list.at(1).unsigned_integer();
  const auto fragment_count = list.at(2).unsigned_integer();
  const auto part = read_part(list.at(3));
  if (!batch_number || !index || !fragment_count || !part || *index >= *fragment_count)
    return std::nullopt;
  return PeerHeartbeatFragment{*batch_number, *index, *fragment_count, *part};
}

std::optional<PeerHeartbeat> read_peer_heartbeat(View root) {
  codec::Fields fields(root);
  PeerHeartbeat heartbeat;
  heartbeat.node = fields.text(kNode);
  heartbeat.term = fields.unsigned_integer(kTerm);
  heartbeat.leading = fields.flag(kLeading);
  const auto part = read_part(root[kPart]);
  if (!fields.ok() || !part || !root[kJobProgress].is_list()) return std::nullopt;
  auto job_progress = codec::read_list(root[kJobProgress], read_job_progress);
  auto cached_images = read_cached_images(root[kCachedImages], root[kImages]);
  auto booting_machines = codec::read_list(root[kBooting], read_booting_machine);
  if (!job_progress || !cached_images || !booting_machines) return std::nullopt;
  heartbeat.part = *part;
  heartbeat.store_reachable = root[kStoreReachable].flag().value_or(false);
  heartbeat.delegation_status = read_status(root[kStatus]);
  heartbeat.delegation = read_delegation(root[kDelegation]);
  heartbeat.fragment = read_fragment(root[kFragment]);
  heartbeat.job_progress = std::move(*job_progress);
  heartbeat.cached_images = std::move(*cached_images);
  heartbeat.booting_machines = std::move(*booting_machines);
  return heartbeat;
}

/// The members of a list that a fragment carries.
template <class Member>
std::vector<Member> members_of_fragment(const std::vector<Member>& list,
                                        const PeerHeartbeatFragment& fragment) {
  const size_t begin = list.size() * fragment.index / fragment.fragment_count;
  const size_t end = list.size() * (fragment.index + 1) / fragment.fragment_count;
  return {list.begin() + static_cast<std::ptrdiff_t>(begin),
          list.begin() + static_cast<std::ptrdiff_t>(end)};
}

PeerHeartbeat without_lists(const PeerHeartbeat& whole) {
  PeerHeartbeat header = whole;
  header.job_progress.clear();
  header.cached_images.clear();
  header.booting_machines.clear();
  return header;
}

/// `header` is `whole` without its lists.
std::string encode_fragment(const PeerHeartbeat& whole, PeerHeartbeat header,
                            const PeerHeartbeatFragment& fragment) {
  header.fragment = fragment;
  if (fragment.index > 0) header.part = PeerHeartbeatPart::StatusOnly;
  header.job_progress = members_of_fragment(whole.job_progress, fragment);
  header.cached_images = members_of_fragment(whole.cached_images, fragment);
  header.booting_machines = members_of_fragment(whole.booting_machines, fragment);
  return encode_peer_heartbeat(header);
}

/// Returns none if any fragment is larger than `limit` bytes.
std::optional<std::vector<std::string>> encode_in_fragments(const PeerHeartbeat& whole,
                                                            const PeerHeartbeat& header,
                                                            uint64_t batch_number,
                                                            size_t fragment_count, size_t limit) {
  std::vector<std::string> bodies;
  for (size_t index = 0; index < fragment_count; ++index) {
    bodies.push_back(
        encode_fragment(whole, header, {batch_number, index, fragment_count, whole.part}));
    if (bodies.back().size() > limit) return std::nullopt;
  }
  return bodies;
}

size_t longest_list(const PeerHeartbeat& heartbeat) {
  return std::max({heartbeat.job_progress.size(), heartbeat.cached_images.size(),
                   heartbeat.booting_machines.size()});
}

}  // namespace

std::string encode_peer_heartbeat(const PeerHeartbeat& heartbeat) {
  return codec::pack_message([&](Packer& packer) {
    const size_t fields =
        kPeerHeartbeatFields + (heartbeat.delegation ? 1 : 0) + (heartbeat.fragment ? 1 : 0);
    packer.pack_map(static_cast<uint32_t>(fields));
    pack_field(packer, kNode, heartbeat.node);
    pack_field(packer, kTerm, heartbeat.term);
    pack_field(packer, kLeading, heartbeat.leading);
    pack_field(packer, kStoreReachable, heartbeat.store_reachable);
    pack_field(packer, kPart, static_cast<uint64_t>(heartbeat.part));
    pack_text(packer, kStatus);
    pack_status(packer, heartbeat.delegation_status);
    if (heartbeat.delegation) {
      pack_text(packer, kDelegation);
      pack_delegation(packer, *heartbeat.delegation);
    }
    if (heartbeat.fragment) {
      pack_text(packer, kFragment);
      pack_fragment(packer, *heartbeat.fragment);
    }
    pack_text(packer, kJobProgress);
    pack_list(packer, heartbeat.job_progress, pack_job_progress);
    const ImageTable images(heartbeat.cached_images);
    pack_text(packer, kImages);
    images.pack_images(packer);
    pack_text(packer, kCachedImages);
    images.pack_cached_images(packer);
    pack_text(packer, kBooting);
    pack_list(packer, heartbeat.booting_machines, pack_booting_machine);
  });
}

std::vector<std::string> encode_peer_heartbeat_fragments(const PeerHeartbeat& heartbeat,
                                                         uint64_t batch_number, size_t limit) {
  // Leaves space for members of unequal size and for the fields that each fragment repeats.
  constexpr double kTargetFill = 0.9;
  std::string whole = encode_peer_heartbeat(heartbeat);
  if (whole.size() <= limit) return {std::move(whole)};
  const PeerHeartbeat header = without_lists(heartbeat);
  const size_t max_fragments = longest_list(heartbeat);
  const double target_bytes = kTargetFill * static_cast<double>(limit);
  auto fragment_count = static_cast<size_t>(static_cast<double>(whole.size()) / target_bytes) + 1;
  for (;; ++fragment_count) {
    // With at most one member per list in each fragment, more fragments would not be smaller, so
    // the limit is not enforced.
    const size_t fragment_limit = fragment_count < max_fragments ? limit : SIZE_MAX;
    auto bodies =
        encode_in_fragments(heartbeat, header, batch_number, fragment_count, fragment_limit);
    if (bodies) return std::move(*bodies);
  }
}

std::optional<PeerHeartbeat> decode_peer_heartbeat(std::string_view body) {
  return codec::read_root<PeerHeartbeat>(body, read_peer_heartbeat);
}

}  // namespace sumacquay::wire
