#pragma once
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http_client.h"
#include "simulators/job_book.h"
#include "simulators/rule_checker.h"

namespace sumacquay::simulators {

struct UserCounts {
  uint64_t requests = 0;
  uint64_t unanswered = 0;  ///< no answer at all
  uint64_t refused = 0;     ///< answered, but neither accepted nor told
  uint64_t accepted = 0;
};

/// Users who submit jobs to the controllers in turn, repeat what isn't answered, ask about their
/// jobs every few seconds, and cancel some.
class Users {
 public:
  Users(asio::io_context& io, const std::vector<Endpoint>& controllers, JobBook& jobs,
        RuleChecker& checker);
  ~Users();

  /// Submits a job until it is accepted. `accepted` hears how long that took.
  void submit(const SubmittedJob& job, const std::function<void(Seconds)>& accepted = nullptr);
  /// Cancels a job until that is confirmed.
  void cancel(const std::string& id);
  /// Asks about this many jobs a second that are not over, in turn.
  void poll(double per_s);
  const UserCounts& counts() const { return counts_; }

 private:
  HttpClient& next_controller();
  void send_submission(const std::string& id, const std::function<void(Seconds)>& accepted);
  void send_cancellation(const std::string& id);
  void poll_next();
  void send_question(const std::string& id);
  void hear_status(const std::string& id, const HttpResult& result, Seconds asked_at);
  void again_later(std::function<void()> action);

  asio::io_context& io_;
  JobBook& jobs_;
  RuleChecker& checker_;
  std::vector<std::unique_ptr<HttpClient>> controllers_;
  size_t next_ = 0;
  std::string last_polled_;
  double polls_per_s_ = 0;
  asio::steady_timer poll_timer_;
  UserCounts counts_;
};

}  // namespace sumacquay::simulators
