#pragma once
#include <cstdint>
#include <memory>
#include <utility>

#include "dispatch/leader_core.h"

namespace sumacquay {

/// The decisions of this node while it leads, shared by the node and by whoever carries them out.
///
/// A callback that comes late may meet no core, or the one of a later period of leading. It
/// remembers the `generation` it was made in and asks for the core of that generation. Only
/// handlers that were posted may `release` a core: from inside one of its own calls that would
/// destroy it while it runs.
class ActiveCore {
 public:
  uint64_t generation() const { return generation_; }
  LeaderCore* get() const { return core_.get(); }
  /// None if this node has stepped down since, or leads anew.
  LeaderCore* get(uint64_t generation) const {
    return generation == generation_ ? core_.get() : nullptr;
  }
  explicit operator bool() const { return core_ != nullptr; }
  LeaderCore* operator->() const { return core_.get(); }
  LeaderCore& operator*() const { return *core_; }

  /// Begins a generation, with a core of its own.
  void begin(std::unique_ptr<LeaderCore> core) {
    ++generation_;
    core_ = std::move(core);
  }
  /// Ends the generation: callbacks of it find no core any more. Returns what to `release`.
  uint64_t end() { return ++generation_; }
  /// Destroys the core that was ended, unless another generation has begun since.
  void release(uint64_t ended) {
    if (ended == generation_) core_.reset();
  }

 private:
  std::unique_ptr<LeaderCore> core_;
  uint64_t generation_ = 0;
};

}  // namespace sumacquay
