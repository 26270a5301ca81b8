#pragma once
#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/actions.h"
#include "dispatch/record_transaction.h"
#include "jobs/spec.h"

namespace sumacquay::simulation {

/// A hash over everything that the controllers of a simulated deployment decide, in order and with
/// its time: leaders' actions and record writes, answers to workers, answers to users. Two versions
/// with the same digests decide the same. What is hashed are the bytes on the wire and plain
/// numbers, so that names in the code may change.
class DecisionDigest {
 public:
  DecisionDigest();

  void add(Seconds now, size_t controller, const Action& action);
  void add(Seconds now, size_t controller, const RecordTransaction& transaction);
  /// `status`: the number of the kind of answer; `redirect`: the controller that it names, if any.
  void add_worker_answer(Seconds now, size_t controller, const std::string& machine, int status,
                         int redirect, uint64_t fencing_token,
                         const std::vector<Command>& commands);
  /// `state`: as the user is told it, -1: no such job.
  void add_user_answer(Seconds now, const std::string& job, int state);

  /// The digest so far, in hexadecimal digits.
  std::string text() const;

 private:
  struct FreeState {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };
  void begin(char kind, Seconds now, size_t controller);
  void number(uint64_t value);
  void number(double value);
  void text(std::string_view value);

  std::unique_ptr<XXH3_state_t, FreeState> state_;
};

}  // namespace sumacquay::simulation
