#pragma once
#include <cstdint>
#include <memory>
#include <utility>

#include "dispatch/scheduler.h"

namespace sumacquay {

/// Owns the scheduler that is active while this node leads. Shared by the node and the components
/// that act for the scheduler.
///
/// A late callback may find no scheduler, or the scheduler of a later term. Callbacks therefore
/// capture the `generation` in which they were created and look up the scheduler of that
/// generation. Only posted handlers may `release` a scheduler: doing so from within one of its own
/// calls would destroy it while it runs.
class ActiveScheduler {
 public:
  uint64_t generation() const { return generation_; }
  /// The scheduler, also after its generation has ended, until it is released; null if none.
  Scheduler* get() const { return scheduler_.get(); }
  /// Null if that generation has ended, because this node stepped down.
  Scheduler* get(uint64_t generation) const {
    return generation == generation_ ? scheduler_.get() : nullptr;
  }
  explicit operator bool() const { return scheduler_ != nullptr; }
  Scheduler* operator->() const { return scheduler_.get(); }
  Scheduler& operator*() const { return *scheduler_; }

  /// Begins a new generation with the given scheduler.
  void begin(std::unique_ptr<Scheduler> scheduler) {
    ++generation_;
    scheduler_ = std::move(scheduler);
  }
  /// Ends the generation, so that its callbacks no longer find the scheduler. Returns the argument
  /// for `release`.
  uint64_t end() { return ++generation_; }
  /// Destroys the scheduler of the ended generation, unless a new generation has begun.
  void release(uint64_t ended) {
    if (ended == generation_) scheduler_.reset();
  }

 private:
  std::unique_ptr<Scheduler> scheduler_;
  uint64_t generation_ = 0;
};

}  // namespace sumacquay
