#include "simulators/users.h"

#include <utility>

#include "node/steady_time.h"
#include "simulators/messages.h"
#include "wire/messages.h"

namespace sumacquay::simulators {
namespace {

constexpr size_t kConnectionsEach = 20;
constexpr size_t kQueuedEach = 100000;
/// Request timeouts, and the delay before a failed request is retried.
constexpr Seconds kSubmissionTimeout = 5;
constexpr Seconds kQuestionTimeout = 2;
constexpr Seconds kRepeatAfter = 1;

constexpr int kCreated = 201;
constexpr int kNotFound = 404;

}  // namespace

Users::Users(asio::io_context& io, const std::vector<Endpoint>& controllers, JobBook& jobs,
             RuleChecker& checker)
    : io_(io), jobs_(jobs), checker_(checker), poll_timer_(io) {
  for (const auto& controller : controllers)
    controllers_.push_back(
        std::make_unique<HttpClient>(io, controller, kConnectionsEach, kQueuedEach));
}

Users::~Users() = default;

HttpClient& Users::next_controller() {
  next_ = (next_ + 1) % controllers_.size();
  return *controllers_[next_];
}

void Users::again_later(std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io_, to_microseconds(kRepeatAfter));
  timer->async_wait([timer, action = std::move(action)](auto error) {
    if (!error) action();
  });
}

void Users::submit(const SubmittedJob& job, const std::function<void(Seconds)>& accepted) {
  SubmittedJob& known = jobs_[job.spec.id] = job;
  known.submitted_at = steady_now();
  send_submission(job.spec.id, accepted);
}

void Users::send_submission(const std::string& id, const std::function<void(Seconds)>& accepted) {
  ++counts_.requests;
  next_controller().request(
      "POST", wire::path::kJobs, submission_body(jobs_.at(id).spec), kSubmissionTimeout,
      [this, id, accepted](const HttpResult& result) {
        const bool taken = result.ok() || (result.answered && result.status == kCreated);
        if (!taken) {
          ++(result.answered ? counts_.refused : counts_.unanswered);
          return again_later([this, id, accepted] { send_submission(id, accepted); });
        }
        SubmittedJob& job = jobs_.at(id);
        job.accepted_at = steady_now();
        ++counts_.accepted;
        if (accepted) accepted(*job.accepted_at - *job.submitted_at);
      });
}

void Users::cancel(const std::string& id) {
  SubmittedJob& job = jobs_.at(id);
  if (!job.cancel_asked_at) job.cancel_asked_at = steady_now();
  send_cancellation(id);
}

void Users::send_cancellation(const std::string& id) {
  ++counts_.requests;
  next_controller().request("POST", std::string(wire::path::kJobs) + "/" + id + wire::path::kCancel,
                            "", kSubmissionTimeout, [this, id](const HttpResult& result) {
                              const auto status =
                                  result.ok() ? parse_job_status(result.body) : std::nullopt;
                              if (!status) {
                                ++(result.answered ? counts_.refused : counts_.unanswered);
                                return again_later([this, id] { send_cancellation(id); });
                              }
                              const Seconds now = steady_now();
                              if (status->state == wire::UserVisibleState::Cancelled)
                                checker_.user_told_cancelled(id, now);
                              if (status->state == wire::UserVisibleState::Done)
                                checker_.user_told_done(id, now);
                            });
}

void Users::poll(double per_s) {
  polls_per_s_ = per_s;
  poll_next();
}

void Users::poll_next() {
  if (polls_per_s_ <= 0) return;
  poll_timer_.expires_after(to_microseconds(1 / polls_per_s_));
  poll_timer_.async_wait([this](auto error) {
    if (error) return;
    auto job = jobs_.upper_bound(last_polled_);
    if (job == jobs_.end()) job = jobs_.begin();
    if (job != jobs_.end()) {
      last_polled_ = job->first;
      if (job->second.accepted_at) send_question(job->first);
    }
    poll_next();
  });
}

void Users::send_question(const std::string& id) {
  ++counts_.requests;
  next_controller().request("GET", std::string(wire::path::kJobs) + "/" + id, "", kQuestionTimeout,
                            [this, id, asked_at = steady_now()](const HttpResult& result) {
                              hear_status(id, result, asked_at);
                            });
}

void Users::hear_status(const std::string& id, const HttpResult& result, Seconds asked_at) {
  const auto status = result.ok() ? parse_job_status(result.body) : std::nullopt;
  if (result.answered && result.status == kNotFound)
    return checker_.user_told_unknown(id, steady_now());
  if (!status) {
    ++(result.answered ? counts_.refused : counts_.unanswered);
    return;
  }
  const Seconds now = steady_now();
  switch (status->state) {
    case wire::UserVisibleState::Done:
      return checker_.user_told_done(id, now);
    case wire::UserVisibleState::Cancelled:
      return checker_.user_told_cancelled(id, now);
    case wire::UserVisibleState::Pending:
    case wire::UserVisibleState::Running:
      return checker_.user_told_unfinished(id, asked_at);
  }
}

}  // namespace sumacquay::simulators
