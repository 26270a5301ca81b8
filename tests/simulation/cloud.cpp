#include "simulation/cloud.h"

#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
constexpr Seconds kScaleOutAnswerDelay = 0.01;
constexpr Seconds kScaleInAnswerDelay = 1.01;
/// Timeout of a release request as a fraction of the worker lease.
constexpr double kReleaseTimeoutFraction = 0.5;
constexpr double kReleaseAnswerLossProbability = 0.1;
/// The fetch rates of machines differ from the catalog's by up to this fraction.
constexpr double kFetchRateDeviation = 1.0 / 3;
}  // namespace

std::string Cloud::add_machine(Seconds up_at, const std::optional<std::string>& zone, bool spot) {
  const size_t controller = env_.random.below(env_.controllers.size());
  std::string id = env_.fleet.add(up_at, zone, spot, controller);
  env_.fleet.machines().at(id).images.set_fetch_rate(
      env_.options.fetch_gb_per_s *
      env_.image_random.between(1 - kFetchRateDeviation, 1 + kFetchRateDeviation));
  return id;
}

void Cloud::scale_out(ControllerProcess& requester, const ScaleOut& request) {
  env_.loop.schedule(env_.random.between(0.05, 0.3), [this, controller = requester.controller(),
                                                      process = requester.weak_from_this(), request,
                                                      generation = requester.generation()] {
    env_.controllers.schedule_in(
        controller, process, kScaleOutAnswerDelay,
        [request, machines = create_machines(request), generation](ControllerProcess& self) {
          self.on_scale_out_answered(generation, request, machines);
        });
  });
}

std::vector<std::string> Cloud::create_machines(const ScaleOut& request) {
  std::vector<std::string> machines;
  for (int i = 0; i < request.count && env_.fleet.size() < env_.options.max_machines; ++i) {
    const Seconds boot_time = env_.random.between(env_.options.min_boot_s, env_.options.max_boot_s);
    std::optional<std::string> zone;
    if (!request.zone.empty()) zone = request.zone;
    machines.push_back(add_machine(env_.now() + boot_time, zone, request.spot));
  }
  return machines;
}

void Cloud::scale_in(ControllerProcess& requester, const ScaleIn& request) {
  Random& random = env_.random;
  const bool late = release_delay_.active(env_.now());
  env_.loop.schedule(late ? random.between(5, 40) : random.between(0.05, 1), [this, request] {
    for (const auto& machine : request.machines) env_.fleet.remove(machine);
  });
  const bool unanswered = late || random.chance(kReleaseAnswerLossProbability);
  const Seconds answer_delay =
      unanswered ? env_.options.lease_s * kReleaseTimeoutFraction : kScaleInAnswerDelay;
  env_.controllers.schedule_in(
      requester.controller(), requester.weak_from_this(), answer_delay,
      [request, unanswered, generation = requester.generation()](ControllerProcess& self) {
        self.on_scale_in_answered(generation, request, !unanswered);
      });
}

}  // namespace sumacquay::simulation
