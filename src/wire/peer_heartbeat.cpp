#include "wire/peer_heartbeat.h"

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
constexpr const char* kServed = "served";
constexpr const char* kPart = "part";
constexpr const char* kStatus = "status";
constexpr const char* kDelegation = "delegation";
constexpr const char* kCounts = "counts";
constexpr const char* kImages = "images";
constexpr const char* kHeld = "held";
constexpr const char* kBooting = "booting";
constexpr const char* kFragment = "piece";

// Lists within a heartbeat hold their fields by position.
constexpr size_t kStatusFields = 3;  ///< one more if it has answered in the leader's place
constexpr size_t kDelegationFields = 3;
constexpr size_t kFragmentFields = 4;
constexpr size_t kPeerHeartbeatFields = 10;  ///< one more for a delegation, and for a fragment
constexpr size_t kCountFields = 3;
constexpr size_t kImageFields = 2;
constexpr size_t kBootingFields = 5;

void pack_status(Packer& packer, const DelegationStatus& status) {
  pack_list(packer, status.last_answer_age_s ? kStatusFields + 1 : kStatusFields);
  packer.pack_uint64(status.process);
  packer.pack_uint64(status.term);
  packer.pack_uint64(status.number);
  if (status.last_answer_age_s) packer.pack_double(*status.last_answer_age_s);
}

void pack_delegation(Packer& packer, const Delegation& delegation) {
  pack_list(packer, kDelegationFields);
  packer.pack_uint64(delegation.term);
  packer.pack_uint64(delegation.number);
  packer.pack_double(delegation.valid_for_s);
}

void pack_fragment(Packer& packer, const PeerHeartbeatFragment& fragment) {
  pack_list(packer, kFragmentFields);
  packer.pack_uint64(fragment.batch);
  packer.pack_uint64(fragment.index);
  packer.pack_uint64(fragment.fragments);
  packer.pack_uint64(static_cast<uint64_t>(fragment.part));
}

void pack_counts(Packer& packer, const std::vector<JobProgress>& counts) {
  pack_list(packer, counts.size());
  for (const auto& count : counts) {
    pack_list(packer, kCountFields);
    pack_text(packer, count.job);
    packer.pack_uint32(count.done);
    packer.pack_uint32(count.running);
  }
}

struct Image {
  std::string_view name;
  double gb = 0;
  auto operator<=>(const Image&) const = default;
};

/// The images of a heartbeat, each one once, and which of them each machine holds.
class ImageTable {
 public:
  explicit ImageTable(const std::vector<CachedImageHint>& held) {
    for (const auto& image : held) held_[image.machine].push_back({image.image, image.gb});
    for (const auto& [machine, images] : held_)
      for (const Image& image : images) add(image);
  }

  void pack_images(Packer& packer) const {
    pack_list(packer, images_.size());
    for (const Image& image : images_) {
      pack_list(packer, kImageFields);
      pack_text(packer, image.name);
      packer.pack_double(image.gb);
    }
  }

  /// A machine's line: its name, then the numbers of its images.
  void pack_held(Packer& packer) const {
    pack_list(packer, held_.size());
    for (const auto& [machine, images] : held_) {
      pack_list(packer, images.size() + 1);
      pack_text(packer, machine);
      for (const Image& image : images) packer.pack_uint32(numbers_.at(image));
    }
  }

 private:
  void add(const Image& image) {
    const auto number = static_cast<uint32_t>(images_.size());
    if (numbers_.try_emplace(image, number).second) images_.push_back(image);
  }

  std::map<std::string_view, std::vector<Image>> held_;
  std::map<Image, uint32_t> numbers_;
  std::vector<Image> images_;  ///< by number
};

void pack_booting(Packer& packer, const std::vector<ListedMachine>& booting) {
  pack_list(packer, booting.size());
  for (const auto& machine : booting) {
    pack_list(packer, kBootingFields);
    pack_text(packer, machine.id);
    pack_text(packer, machine.type);
    pack_text(packer, machine.zone);
    codec::pack_flag(packer, machine.spot);
    packer.pack_double(machine.age_s);
  }
}

DelegationStatus read_status(View list) {
  DelegationStatus status;
  if (list.size() < kStatusFields || list.size() > kStatusFields + 1) return status;
  status.process = list.at(0).count().value_or(0);
  status.term = list.at(1).count().value_or(0);
  status.number = list.at(2).count().value_or(0);
  if (list.size() > kStatusFields) status.last_answer_age_s = list.at(3).number();
  return status;
}

std::optional<Delegation> read_delegation(View list) {
  if (list.size() != kDelegationFields) return std::nullopt;
  const auto term = list.at(0).count();
  const auto number = list.at(1).count();
  const auto valid_for_s = list.at(2).number();
  if (!term || !number || !valid_for_s) return std::nullopt;
  return Delegation{*term, *number, *valid_for_s};
}

std::optional<JobProgress> read_count(View list) {
  if (list.size() != kCountFields) return std::nullopt;
  const auto job = list.at(0).text();
  const auto done = list.at(1).count();
  const auto running = list.at(2).count();
  if (!job || !done || !running) return std::nullopt;
  return JobProgress{*job, static_cast<uint32_t>(*done), static_cast<uint32_t>(*running)};
}

bool read_counts(View list, std::vector<JobProgress>& counts) {
  for (size_t i = 0; i < list.size(); ++i) {
    auto count = read_count(list.at(i));
    if (!count) return false;
    counts.push_back(std::move(*count));
  }
  return true;
}

/// One image of a machine, by its number in the list of images.
std::optional<CachedImageHint> read_image(const std::string& machine, View number, View images) {
  const auto index = number.count();
  if (!index || *index >= images.size()) return std::nullopt;
  const View image = images.at(*index);
  if (image.size() != kImageFields) return std::nullopt;
  const auto name = image.at(0).text();
  const auto gb = image.at(1).number();
  if (!name || !gb) return std::nullopt;
  return CachedImageHint{machine, *name, *gb};
}

bool read_held(View lines, View images, std::vector<CachedImageHint>& held) {
  for (size_t i = 0; i < lines.size(); ++i) {
    const View line = lines.at(i);
    const auto machine = line.size() > 0 ? line.at(0).text() : std::nullopt;
    if (!machine) return false;
    for (size_t k = 1; k < line.size(); ++k) {
      auto image = read_image(*machine, line.at(k), images);
      if (!image) return false;
      held.push_back(std::move(*image));
    }
  }
  return true;
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

bool read_booting(View list, std::vector<ListedMachine>& booting) {
  for (size_t i = 0; i < list.size(); ++i) {
    auto machine = read_booting_machine(list.at(i));
    if (!machine) return false;
    booting.push_back(std::move(*machine));
  }
  return true;
}

std::optional<PeerHeartbeatPart> read_part(View value) {
  const uint64_t part = value.count().value_or(0);
  if (part > static_cast<uint64_t>(PeerHeartbeatPart::Hints)) return std::nullopt;
  return static_cast<PeerHeartbeatPart>(part);
}

std::optional<PeerHeartbeatFragment> read_fragment(View list) {
  if (list.size() != kFragmentFields) return std::nullopt;
  const auto batch = list.at(0).count();
  const auto index = list.at(1).count();
  const auto fragments = list.at(2).count();
  const auto part = read_part(list.at(3));
  if (!batch || !index || !fragments || !part || *index >= *fragments) return std::nullopt;
  return PeerHeartbeatFragment{*batch, *index, *fragments, *part};
}

std::optional<PeerHeartbeat> read_peer_heartbeat(View root) {
  const auto node = root[kNode].text();
  const auto term = root[kTerm].count();
  const auto leading = root[kLeading].flag();
  const auto part = read_part(root[kPart]);
  const View counts = root[kCounts];
  if (!node || !term || !leading || !part || !counts.is_list()) return std::nullopt;
  PeerHeartbeat heartbeat;
  heartbeat.part = *part;
  heartbeat.node = *node;
  heartbeat.term = *term;
  heartbeat.leading = *leading;
  heartbeat.served = root[kServed].flag().value_or(false);
  heartbeat.status = read_status(root[kStatus]);
  heartbeat.delegation = read_delegation(root[kDelegation]);
  heartbeat.fragment = read_fragment(root[kFragment]);
  if (!read_counts(counts, heartbeat.counts)) return std::nullopt;
  if (!read_held(root[kHeld], root[kImages], heartbeat.images)) return std::nullopt;
  if (!read_booting(root[kBooting], heartbeat.booting)) return std::nullopt;
  return heartbeat;
}

/// The members of a list that belong to a fragment.
template <class Member>
std::vector<Member> share_of(const std::vector<Member>& list,
                             const PeerHeartbeatFragment& fragment) {
  const size_t begin = list.size() * fragment.index / fragment.fragments;
  const size_t end = list.size() * (fragment.index + 1) / fragment.fragments;
  return {list.begin() + static_cast<std::ptrdiff_t>(begin),
          list.begin() + static_cast<std::ptrdiff_t>(end)};
}

PeerHeartbeat without_lists(const PeerHeartbeat& whole) {
  PeerHeartbeat head = whole;
  head.counts.clear();
  head.images.clear();
  head.booting.clear();
  return head;
}

/// `head`: the whole without its lists.
std::string encode_fragment(const PeerHeartbeat& whole, PeerHeartbeat head,
                            const PeerHeartbeatFragment& fragment) {
  head.fragment = fragment;
  if (fragment.index > 0) head.part = PeerHeartbeatPart::StatusOnly;
  head.counts = share_of(whole.counts, fragment);
  head.images = share_of(whole.images, fragment);
  head.booting = share_of(whole.booting, fragment);
  return encode_peer_heartbeat(head);
}

size_t longest_list(const PeerHeartbeat& heartbeat) {
  return std::max({heartbeat.counts.size(), heartbeat.images.size(), heartbeat.booting.size()});
}

}  // namespace

std::string encode_peer_heartbeat(const PeerHeartbeat& heartbeat) {
  return codec::build([&](Packer& packer) {
    const size_t fields =
        kPeerHeartbeatFields + (heartbeat.delegation ? 1 : 0) + (heartbeat.fragment ? 1 : 0);
    packer.pack_map(static_cast<uint32_t>(fields));
    pack_field(packer, kNode, heartbeat.node);
    pack_field(packer, kTerm, heartbeat.term);
    pack_field(packer, kLeading, heartbeat.leading);
    pack_field(packer, kServed, heartbeat.served);
    pack_field(packer, kPart, static_cast<uint64_t>(heartbeat.part));
    pack_text(packer, kStatus);
    pack_status(packer, heartbeat.status);
    if (heartbeat.delegation) {
      pack_text(packer, kDelegation);
      pack_delegation(packer, *heartbeat.delegation);
    }
    if (heartbeat.fragment) {
      pack_text(packer, kFragment);
      pack_fragment(packer, *heartbeat.fragment);
    }
    pack_text(packer, kCounts);
    pack_counts(packer, heartbeat.counts);
    const ImageTable images(heartbeat.images);
    pack_text(packer, kImages);
    images.pack_images(packer);
    pack_text(packer, kHeld);
    images.pack_held(packer);
    pack_text(packer, kBooting);
    pack_booting(packer, heartbeat.booting);
  });
}

std::vector<std::string> encode_peer_heartbeat_fragments(const PeerHeartbeat& heartbeat,
                                                         uint64_t batch, size_t limit) {
  // Members differ in size, and each fragment has a head of its own.
  constexpr double kMargin = 0.9;
  std::string whole = encode_peer_heartbeat(heartbeat);
  if (whole.size() <= limit) return {std::move(whole)};
  const PeerHeartbeat head = without_lists(heartbeat);
  const size_t most = longest_list(heartbeat);
  const double fits = kMargin * static_cast<double>(limit);
  for (auto fragments = static_cast<size_t>(static_cast<double>(whole.size()) / fits) + 1;;
       ++fragments) {
    std::vector<std::string> bodies;
    bool all_fit = true;
    for (size_t index = 0; index < fragments && all_fit; ++index) {
      bodies.push_back(encode_fragment(heartbeat, head, {batch, index, fragments, heartbeat.part}));
      all_fit = bodies.back().size() <= limit || fragments >= most;
    }
    if (all_fit) return bodies;
  }
}

std::optional<PeerHeartbeat> decode_peer_heartbeat(std::string_view body) {
  return codec::read_root<PeerHeartbeat>(body, read_peer_heartbeat);
}

}  // namespace sumacquay::wire
