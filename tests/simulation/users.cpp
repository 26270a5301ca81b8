#include "simulation/users.h"

#include <array>
#include <memory>

#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
/// Random jobs use this many images, of at most this size.
constexpr uint64_t kImages = 5;
constexpr double kMaxImageGb = 30;
constexpr Seconds kMinRetryDelay = 1, kMaxRetryDelay = 1.2;
}  // namespace

JobSpec Users::random_spec() {
  Random& random = env_.random;
  JobSpec spec;
  spec.kind = std::array{JobKind::Array, JobKind::Gang, JobKind::Service}[random.below(3)];
  spec.priority = std::array{Priority::Low, Priority::High, Priority::Production}[random.below(3)];
  spec.tasks = 1 + static_cast<uint32_t>(random.below(4));
  spec.team = random.chance(0.5) ? kLimitedTeam : kOpenTeam;
  spec.request = {2, 1, 4};
  spec.image = "img";
  spec.spread = spec.kind == JobKind::Service;
  spec.one_zone = spec.kind == JobKind::Gang && random.chance(0.5);
  spec.spot = random.chance(0.3);
  spec.checkpoint_interval_s = random.chance(0.5) ? 2 : 0;
  spec.checkpoint_duration_s = 1;
  if (!env_.options.models_images()) return spec;
  spec.image = "img-" + std::to_string(random.below(kImages));
  spec.image_gb = random.between(0, kMaxImageGb);
  if (spec.kind == JobKind::Gang && spec.team == kOpenTeam) spec.request = {8, 2, 32};
  return spec;
}

std::string Users::submit(JobSpec spec) {
  std::string id = "job-" + std::to_string(env_.jobs.size() + 1);
  spec.id = id;
  env_.jobs[id].spec = spec;
  Request request;
  request.job = id;
  request.serve = [this](ControllerProcess& process, const UserRequest& user_request) {
    frontend_.accept(process, user_request);
  };
  request.settled = [this, id] { return env_.jobs.at(id).accepted; };
  send(std::nullopt, request);
  return id;
}

std::string Users::submit_random() {
  const JobSpec spec = random_spec();
  std::string id = submit(spec);
  if (spec.kind == JobKind::Service || env_.random.chance(0.2))
    env_.loop.schedule(env_.random.between(1, 60), [this, id] { cancel(id); });
  return id;
}

void Users::cancel(const std::string& id, std::optional<size_t> first) {
  env_.jobs.at(id).cancel_requested = true;
  Request request;
  request.job = id;
  request.serve = [this](ControllerProcess& process, const UserRequest& user_request) {
    frontend_.cancel(process, user_request);
  };
  request.settled = [this, id] {
    const ObservedJob& job = env_.jobs.at(id);
    return job.cancelled_at || job.reported_done;
  };
  send(first, request);
}

void Users::query_state(const std::string& id, std::optional<size_t> first) {
  auto answered = std::make_shared<bool>(false);
  Request request;
  request.job = id;
  request.serve = [this, answered](ControllerProcess& process, const UserRequest& user_request) {
    UserRequest tracked = user_request;
    tracked.on_handled = [answered, on_handled = user_request.on_handled](bool has_answer) {
      *answered = *answered || has_answer;
      on_handled(has_answer);
    };
    frontend_.query(process, tracked);
  };
  request.settled = [answered] { return *answered; };
  send(first, request);
}

std::optional<size_t> Users::reachable(std::optional<size_t> first) {
  const size_t count = env_.controllers.size();
  const size_t start = first ? *first : env_.random.below(count);
  for (size_t i = 0; i < count; ++i) {
    const size_t controller = (start + i) % count;
    const ControllerHost& host = env_.controllers[controller];
    if (host.process && !env_.network.zone_partitioned(host.settings.zone)) return controller;
  }
  return std::nullopt;
}

void Users::send(std::optional<size_t> first, const Request& request) {
  const auto controller = reachable(first);
  std::optional<size_t> next;
  if (controller) next = (*controller + 1) % env_.controllers.size();
  auto retrying = std::make_shared<bool>(false);
  const auto retry = [this, request, retrying, next] {
    if (*retrying || request.settled()) return;
    *retrying = true;
    env_.loop.schedule(env_.random.between(kMinRetryDelay, kMaxRetryDelay), [this, request, next] {
      if (!request.settled()) send(next, request);
    });
  };
  if (!controller) return retry();
  const UserRequest sent{request.job, env_.now(), [retry](bool answered) {
                           if (!answered) retry();
                         }};
  env_.controllers.schedule_at(
      *controller, env_.random.between(0.001, 0.02),
      [request, sent](ControllerProcess& process) { request.serve(process, sent); });
  env_.loop.schedule(kUserTimeout, retry);
}

}  // namespace sumacquay::simulation
