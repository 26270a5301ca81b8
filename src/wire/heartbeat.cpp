#include "wire/heartbeat.h"

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
constexpr const char* kPiece = "piece";

// Lists within a heartbeat hold their fields by position.
constexpr size_t kStatusFields = 3;  ///< one more if it has answered in the leader's place
constexpr size_t kDelegationFields = 3;
constexpr size_t kPieceFields = 4;
constexpr size_t kHeartbeatFields = 10;  ///< one more for a delegation, and for a piece
constexpr size_t kCountFields = 3;
constexpr size_t kImageFields = 2;
constexpr size_t kBootingFields = 5;

void pack_status(Packer& packer, const DelegateStatus& status) {
  pack_list(packer, status.ago ? kStatusFields + 1 : kStatusFields);
  packer.pack_uint64(status.process);
  packer.pack_uint64(status.term);
  packer.pack_uint64(status.number);
  if (status.ago) packer.pack_double(*status.ago);
}

void pack_delegation(Packer& packer, const Delegation& delegation) {
  pack_list(packer, kDelegationFields);
  packer.pack_uint64(delegation.term);
  packer.pack_uint64(delegation.number);
  packer.pack_double(delegation.for_s);
}

void pack_piece(Packer& packer, const HeartbeatPiece& piece) {
  pack_list(packer, kPieceFields);
  packer.pack_uint64(piece.batch);
  packer.pack_uint64(piece.index);
  packer.pack_uint64(piece.pieces);
  packer.pack_uint64(static_cast<uint64_t>(piece.part));
}

void pack_counts(Packer& packer, const std::vector<RunningCount>& counts) {
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
  explicit ImageTable(const std::vector<HeldImage>& held) {
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

DelegateStatus read_status(View list) {
  DelegateStatus status;
  if (list.size() < kStatusFields || list.size() > kStatusFields + 1) return status;
  status.process = list.at(0).count().value_or(0);
  status.term = list.at(1).count().value_or(0);
  status.number = list.at(2).count().value_or(0);
  if (list.size() > kStatusFields) status.ago = list.at(3).number();
  return status;
}

std::optional<Delegation> read_delegation(View list) {
  if (list.size() != kDelegationFields) return std::nullopt;
  const auto term = list.at(0).count();
  const auto number = list.at(1).count();
  const auto for_s = list.at(2).number();
  if (!term || !number || !for_s) return std::nullopt;
  return Delegation{*term, *number, *for_s};
}

std::optional<RunningCount> read_count(View list) {
  if (list.size() != kCountFields) return std::nullopt;
  const auto job = list.at(0).text();
  const auto done = list.at(1).count();
  const auto running = list.at(2).count();
  if (!job || !done || !running) return std::nullopt;
  return RunningCount{*job, static_cast<uint32_t>(*done), static_cast<uint32_t>(*running)};
}

bool read_counts(View list, std::vector<RunningCount>& counts) {
  for (size_t i = 0; i < list.size(); ++i) {
    auto count = read_count(list.at(i));
    if (!count) return false;
    counts.push_back(std::move(*count));
  }
  return true;
}

/// One image of a machine, by its number in the list of images.
std::optional<HeldImage> read_image(const std::string& machine, View number, View images) {
  const auto index = number.count();
  if (!index || *index >= images.size()) return std::nullopt;
  const View image = images.at(*index);
  if (image.size() != kImageFields) return std::nullopt;
  const auto name = image.at(0).text();
  const auto gb = image.at(1).number();
  if (!name || !gb) return std::nullopt;
  return HeldImage{machine, *name, *gb};
}

bool read_held(View lines, View images, std::vector<HeldImage>& held) {
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

std::optional<HeartbeatPart> read_part(View value) {
  const uint64_t part = value.count().value_or(0);
  if (part > static_cast<uint64_t>(HeartbeatPart::Hints)) return std::nullopt;
  return static_cast<HeartbeatPart>(part);
}

std::optional<HeartbeatPiece> read_piece(View list) {
  if (list.size() != kPieceFields) return std::nullopt;
  const auto batch = list.at(0).count();
  const auto index = list.at(1).count();
  const auto pieces = list.at(2).count();
  const auto part = read_part(list.at(3));
  if (!batch || !index || !pieces || !part || *index >= *pieces) return std::nullopt;
  return HeartbeatPiece{*batch, *index, *pieces, *part};
}

std::optional<Heartbeat> read_heartbeat(View root) {
  const auto node = root[kNode].text();
  const auto term = root[kTerm].count();
  const auto leading = root[kLeading].flag();
  const auto part = read_part(root[kPart]);
  const View counts = root[kCounts];
  if (!node || !term || !leading || !part || !counts.is_list()) return std::nullopt;
  Heartbeat heartbeat;
  heartbeat.part = *part;
  heartbeat.node = *node;
  heartbeat.term = *term;
  heartbeat.leading = *leading;
  heartbeat.served = root[kServed].flag().value_or(false);
  heartbeat.status = read_status(root[kStatus]);
  heartbeat.delegation = read_delegation(root[kDelegation]);
  heartbeat.piece = read_piece(root[kPiece]);
  if (!read_counts(counts, heartbeat.counts)) return std::nullopt;
  if (!read_held(root[kHeld], root[kImages], heartbeat.images)) return std::nullopt;
  if (!read_booting(root[kBooting], heartbeat.booting)) return std::nullopt;
  return heartbeat;
}

/// The members of a list that belong to a piece.
template <class Member>
std::vector<Member> share_of(const std::vector<Member>& list, const HeartbeatPiece& piece) {
  const size_t begin = list.size() * piece.index / piece.pieces;
  const size_t end = list.size() * (piece.index + 1) / piece.pieces;
  return {list.begin() + static_cast<std::ptrdiff_t>(begin),
          list.begin() + static_cast<std::ptrdiff_t>(end)};
}

Heartbeat without_lists(const Heartbeat& whole) {
  Heartbeat head = whole;
  head.counts.clear();
  head.images.clear();
  head.booting.clear();
  return head;
}

/// `head`: the whole without its lists.
std::string encode_piece(const Heartbeat& whole, Heartbeat head, const HeartbeatPiece& piece) {
  head.piece = piece;
  if (piece.index > 0) head.part = HeartbeatPart::Beat;
  head.counts = share_of(whole.counts, piece);
  head.images = share_of(whole.images, piece);
  head.booting = share_of(whole.booting, piece);
  return encode_heartbeat(head);
}

size_t longest_list(const Heartbeat& heartbeat) {
  return std::max({heartbeat.counts.size(), heartbeat.images.size(), heartbeat.booting.size()});
}

}  // namespace

std::string encode_heartbeat(const Heartbeat& heartbeat) {
  return codec::build([&](Packer& packer) {
    const size_t fields =
        kHeartbeatFields + (heartbeat.delegation ? 1 : 0) + (heartbeat.piece ? 1 : 0);
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
    if (heartbeat.piece) {
      pack_text(packer, kPiece);
      pack_piece(packer, *heartbeat.piece);
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

std::vector<std::string> encode_heartbeat_pieces(const Heartbeat& heartbeat, uint64_t batch,
                                                 size_t limit) {
  // Members differ in size, and each piece has a head of its own.
  constexpr double kMargin = 0.9;
  std::string whole = encode_heartbeat(heartbeat);
  if (whole.size() <= limit) return {std::move(whole)};
  const Heartbeat head = without_lists(heartbeat);
  const size_t most = longest_list(heartbeat);
  const double fits = kMargin * static_cast<double>(limit);
  for (auto pieces = static_cast<size_t>(static_cast<double>(whole.size()) / fits) + 1;; ++pieces) {
    std::vector<std::string> bodies;
    bool all_fit = true;
    for (size_t index = 0; index < pieces && all_fit; ++index) {
      bodies.push_back(encode_piece(heartbeat, head, {batch, index, pieces, heartbeat.part}));
      all_fit = bodies.back().size() <= limit || pieces >= most;
    }
    if (all_fit) return bodies;
  }
}

std::optional<Heartbeat> decode_heartbeat(std::string_view body) {
  return codec::read_root<Heartbeat>(body, read_heartbeat);
}

}  // namespace sumacquay::wire
