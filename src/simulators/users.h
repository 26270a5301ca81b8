#pragma once
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http_client.h"
#include "simulators/rule_checker.h"
#include "simulators/submitted_jobs.h"

namespace sumacquay::simulators {

/// Request counters of the simulated users.
struct UserCounts {
  uint64_t requests = 0;
  uint64_t unanswered = 0;  ///< timeouts and connection errors
  uint64_t refused = 0;     ///< responses with an error status or without a valid body
  uint64_t accepted = 0;    ///< submissions
};

/// Simulated users. They send submissions, cancellations and status requests to the controllers in
/// round-robin order, and retry submissions and cancellations until they are confirmed.
class Users {
 public:
  Users(asio::io_context& io, const std::vector<Endpoint>& controllers, SubmittedJobs& jobs,
        RuleChecker& checker);
  ~Users();

  /// Submits a job and retries until it is accepted; then calls `on_accepted` with the elapsed
  /// time.
  void submit(const SubmittedJob& job, const std::function<void(Seconds)>& on_accepted = nullptr);
  /// Cancels a job and retries until a controller answers with the job's state.
  void cancel(const std::string& id);
  /// Sends status requests for the accepted jobs in round-robin order, at most `per_s` per second.
  void start_polling(double per_s);
  const UserCounts& counts() const { return counts_; }

 private:
  HttpClient& next_controller();
  void send_submission(const std::string& id, const std::function<void(Seconds)>& on_accepted);
  void send_cancellation(const std::string& id);
  void schedule_poll();
  void send_status_request(const std::string& id);
  void on_status_response(const std::string& id, const HttpResult& result, Seconds sent_at);
  void retry_later(std::function<void()> action);

  asio::io_context& io_;
  SubmittedJobs& jobs_;
  RuleChecker& checker_;
  std::vector<std::unique_ptr<HttpClient>> controllers_;
  size_t controller_index_ = 0;
  std::string last_polled_;
  double polls_per_s_ = 0;
  asio::steady_timer poll_timer_;
  UserCounts counts_;
};

}  // namespace sumacquay::simulators
