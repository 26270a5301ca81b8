#pragma once
#include <cstdint>
#include <memory>
#include <utility>

#include "dispatch/scheduler.h"

namespace sumacquay {

/// The decisions of this node while it leads, shared by the node and by whoever carries them out.
///
/// A callback that comes late may meet no scheduler, or the one of a later period of leading. It
/// remembers the `generation` it was made in and asks for the scheduler of that generation. Only
/// handlers that were posted may `release` a scheduler: from inside one of its own calls that would
/// destroy it while it runs.
class ActiveScheduler {
 public:
  uint64_t generation() const { return generation_; }
  Scheduler* get() const { return scheduler_.get(); }
  /// None if this node has stepped down since, or leads anew.
  Scheduler* get(uint64_t generation) const {
    return generation == generation_ ? scheduler_.get() : nullptr;
  }
  explicit operator bool() const { return scheduler_ != nullptr; }
  Scheduler* operator->() const { return scheduler_.get(); }
  Scheduler& operator*() const { return *scheduler_; }

  /// Begins a generation, with a scheduler of its own.
  void begin(std::unique_ptr<Scheduler> scheduler) {
    ++generation_;
    scheduler_ = std::move(scheduler);
  }
  /// Ends the generation: callbacks of it find no scheduler any more. Returns what to `release`.
  uint64_t end() { return ++generation_; }
  /// Destroys the scheduler that was ended, unless another generation has begun since.
  void release(uint64_t ended) {
    if (ended == generation_) scheduler_.reset();
  }

 private:
  std::unique_ptr<Scheduler> scheduler_;
  uint64_t generation_ = 0;
};

}  // namespace sumacquay
