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

/// A hash over all decisions of the controllers of a simulated deployment, in order and with their
/// times: the leaders' actions and record writes, and the answers to workers and users. Equal
/// digests of two versions mean equal decisions. The hash covers wire bytes and plain numbers only,
/// so that it does not depend on names in the code.
class DecisionDigest {
 public:
  DecisionDigest();

  void add(Seconds now, size_t controller, const Action& action);
  void add(Seconds now, size_t controller, const RecordTransaction& transaction);
  /// `status`: numeric HeartbeatReplyStatus; `redirect`: the controller named in the answer, or -1.
  void add_worker_answer(Seconds now, size_t controller, const std::string& machine, int status,
                         int redirect, uint64_t fencing_token,
                         const std::vector<Command>& commands);
  /// `state`: numeric JobState in the answer, or -1 for "no such job".
  void add_user_answer(Seconds now, const std::string& job, int state);

  /// The digest so far, in hexadecimal.
  std::string text() const;

 private:
  struct FreeState {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };
  void begin_entry(char kind, Seconds now, size_t controller);
  void add_number(uint64_t value);
  void add_number(double value);
  void add_text(std::string_view value);

  std::unique_ptr<XXH3_state_t, FreeState> state_;
};

}  // namespace sumacquay::simulation
