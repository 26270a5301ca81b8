#include "simulation/users.h"

#include <array>
#include <memory>

#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
constexpr Seconds kRetryLeast = 1, kRetryMost = 1.2;
}  // namespace

JobSpec Users::any_spec() {
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
  return spec;
}

std::string Users::submit(JobSpec spec) {
  std::string id = "job-" + std::to_string(env_.jobs.size() + 1);
  spec.id = id;
  env_.jobs[id].spec = spec;
  Request request;
  request.job = id;
  request.serve = [this](ControllerProcess& process, const UserRequest& asked) {
    frontend_.accept(process, asked);
  };
  request.settled = [this, id] { return env_.jobs.at(id).accepted; };
  ask(std::nullopt, request);
  return id;
}

std::string Users::submit_any() {
  const JobSpec spec = any_spec();
  std::string id = submit(spec);
  if (spec.kind == JobKind::Service || env_.random.chance(0.2))
    env_.loop.schedule(env_.random.between(1, 60), [this, id] { cancel(id); });
  return id;
}

void Users::cancel(const std::string& id, std::optional<size_t> first) {
  env_.jobs.at(id).cancel_asked = true;
  Request request;
  request.job = id;
  request.serve = [this](ControllerProcess& process, const UserRequest& asked) {
    frontend_.cancel(process, asked);
  };
  request.settled = [this, id] {
    const ObservedJob& job = env_.jobs.at(id);
    return job.cancelled_at || job.told_done;
  };
  ask(first, request);
}

void Users::ask_state(const std::string& id, std::optional<size_t> first) {
  auto told = std::make_shared<bool>(false);
  Request request;
  request.job = id;
  request.serve = [this, told](ControllerProcess& process, const UserRequest& asked) {
    UserRequest noted = asked;
    noted.answered = [told, answered = asked.answered](bool yes) {
      *told = *told || yes;
      answered(yes);
    };
    frontend_.query(process, noted);
  };
  request.settled = [told] { return *told; };
  ask(first, request);
}

std::optional<size_t> Users::reachable(std::optional<size_t> first) {
  const size_t count = env_.controllers.size();
  const size_t begin = first ? *first : env_.random.below(count);
  for (size_t i = 0; i < count; ++i) {
    const size_t controller = (begin + i) % count;
    const ControllerHost& host = env_.controllers[controller];
    if (host.process && !env_.network.zone_cut(host.settings.zone)) return controller;
  }
  return std::nullopt;
}

void Users::ask(std::optional<size_t> first, const Request& request) {
  const auto asked = reachable(first);
  std::optional<size_t> next;
  if (asked) next = (*asked + 1) % env_.controllers.size();
  auto retrying = std::make_shared<bool>(false);
  const auto retry = [this, request, retrying, next] {
    if (*retrying || request.settled()) return;
    *retrying = true;
    env_.loop.schedule(env_.random.between(kRetryLeast, kRetryMost), [this, request, next] {
      if (!request.settled()) ask(next, request);
    });
  };
  if (!asked) return retry();
  const UserRequest sent{request.job, env_.now(), [retry](bool answered) {
                           if (!answered) retry();
                         }};
  env_.controllers.schedule_at(
      *asked, env_.random.between(0.001, 0.02),
      [request, sent](ControllerProcess& process) { request.serve(process, sent); });
  env_.loop.schedule(kUserPatience, retry);
}

}  // namespace sumacquay::simulation
