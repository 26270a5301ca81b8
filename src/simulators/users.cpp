#include "simulators/users.h"

#include <utility>

#include "node/steady_time.h"
#include "simulators/messages.h"
#include "wire/messages.h"

namespace sumacquay::simulators {
namespace {

constexpr size_t kConnectionsPerController = 20;
constexpr size_t kMaxQueuedRequests = 100000;
/// Request timeouts, and the delay before a failed request is retried.
constexpr Seconds kSubmissionTimeout = 5;
constexpr Seconds kStatusTimeout = 2;
constexpr Seconds kRetryDelay = 1;

constexpr int kCreated = 201;
constexpr int kNotFound = 404;

}  // namespace

Users::Users(asio::io_context& io, const std::vector<Endpoint>& controllers, SubmittedJobs& jobs,
             RuleChecker& checker)
    : io_(io), jobs_(jobs), checker_(checker), poll_timer_(io) {
  for (const auto& controller : controllers)
    controllers_.push_back(std::make_unique<HttpClient>(io, controller, kConnectionsPerController,
                                                        kMaxQueuedRequests));
}

Users::~Users() = default;

HttpClient& Users::next_controller() {
  controller_index_ = (controller_index_ + 1) % controllers_.size();
  return *controllers_[controller_index_];
}

void Users::retry_later(std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io_, to_microseconds(kRetryDelay));
  timer->async_wait([timer, action = std::move(action)](auto error) {
    if (!error) action();
  });
}

void Users::submit(const SubmittedJob& job, const std::function<void(Seconds)>& on_accepted) {
  SubmittedJob& submitted = jobs_[job.spec.id] = job;
  submitted.submitted_at = steady_now();
  send_submission(job.spec.id, on_accepted);
}

void Users::send_submission(const std::string& id,
                            const std::function<void(Seconds)>& on_accepted) {
  ++counts_.requests;
  next_controller().request(
      "POST", wire::path::kJobs, submission_body(jobs_.at(id).spec), kSubmissionTimeout,
      [this, id, on_accepted](const HttpResult& result) {
        const bool confirmed = result.ok() || (result.answered && result.status == kCreated);
        if (!confirmed) {
          ++(result.answered ? counts_.refused : counts_.unanswered);
          return retry_later([this, id, on_accepted] { send_submission(id, on_accepted); });
        }
        SubmittedJob& job = jobs_.at(id);
        job.accepted_at = steady_now();
        ++counts_.accepted;
        if (on_accepted) on_accepted(*job.accepted_at - *job.submitted_at);
      });
}

void Users::cancel(const std::string& id) {
  SubmittedJob& job = jobs_.at(id);
  if (!job.cancel_requested_at) job.cancel_requested_at = steady_now();
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
                                return retry_later([this, id] { send_cancellation(id); });
                              }
                              const Seconds now = steady_now();
                              if (status->state == wire::UserVisibleState::Cancelled)
                                checker_.on_cancellation_reported(id, now);
                              if (status->state == wire::UserVisibleState::Done)
                                checker_.on_done_reported(id, now);
                            });
}

void Users::start_polling(double per_s) {
  polls_per_s_ = per_s;
  schedule_poll();
}

void Users::schedule_poll() {
  if (polls_per_s_ <= 0) return;
  poll_timer_.expires_after(to_microseconds(1 / polls_per_s_));
  poll_timer_.async_wait([this](auto error) {
    if (error) return;
    auto job = jobs_.upper_bound(last_polled_);
    if (job == jobs_.end()) job = jobs_.begin();
    if (job != jobs_.end()) {
      last_polled_ = job->first;
      if (job->second.accepted_at) send_status_request(job->first);
    }
    schedule_poll();
  });
}

void Users::send_status_request(const std::string& id) {
  ++counts_.requests;
  next_controller().request("GET", std::string(wire::path::kJobs) + "/" + id, "", kStatusTimeout,
                            [this, id, sent_at = steady_now()](const HttpResult& result) {
                              on_status_response(id, result, sent_at);
                            });
}

void Users::on_status_response(const std::string& id, const HttpResult& result, Seconds sent_at) {
  const auto status = result.ok() ? parse_job_status(result.body) : std::nullopt;
  if (result.answered && result.status == kNotFound)
    return checker_.on_unknown_job_reported(id, steady_now());
  if (!status) {
    ++(result.answered ? counts_.refused : counts_.unanswered);
    return;
  }
  const Seconds now = steady_now();
  switch (status->state) {
    case wire::UserVisibleState::Done:
      return checker_.on_done_reported(id, now);
    case wire::UserVisibleState::Cancelled:
      return checker_.on_cancellation_reported(id, now);
    case wire::UserVisibleState::Pending:
    case wire::UserVisibleState::Running:
      return checker_.on_unfinished_reported(id, sent_at);
  }
}

}  // namespace sumacquay::simulators
