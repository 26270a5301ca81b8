#include "simulation/cloud.h"

#include "simulation/controller_process.h"

namespace sumacquay::simulation {

namespace {
constexpr Seconds kRentAnswerDelay = 0.01;
constexpr Seconds kReleaseAnswerDelay = 1.01;
/// Timeout of a release request as a fraction of the worker lease.
constexpr double kReleaseDeadlineShare = 0.5;
constexpr double kReleaseAnswerLost = 0.1;
}  // namespace

std::string Cloud::add_machine(Seconds up_at, const std::optional<std::string>& zone, bool spot) {
  const size_t controller = env_.random.below(env_.controllers.size());
  return env_.fleet.add(up_at, zone, spot, controller);
}

void Cloud::rent(ControllerProcess& asker, const ScaleOut& rent) {
  env_.loop.schedule(env_.random.between(0.05, 0.3), [this, controller = asker.controller(),
                                                      process = asker.weak_from_this(), rent,
                                                      generation = asker.generation()] {
    env_.controllers.schedule_in(
        controller, process, kRentAnswerDelay,
        [rent, machines = start_rented(rent), generation](ControllerProcess& me) {
          me.on_scale_out_answered(generation, rent, machines);
        });
  });
}

std::vector<std::string> Cloud::start_rented(const ScaleOut& rent) {
  std::vector<std::string> machines;
  for (int i = 0; i < rent.count && env_.fleet.size() < env_.options.most_machines; ++i) {
    const Seconds boots_for = env_.random.between(env_.options.boot_least, env_.options.boot_most);
    std::optional<std::string> zone;
    if (!rent.zone.empty()) zone = rent.zone;
    machines.push_back(add_machine(env_.now() + boots_for, zone, rent.spot));
  }
  return machines;
}

void Cloud::release(ControllerProcess& asker, const ScaleIn& release) {
  Random& random = env_.random;
  const bool late = late_releases_.active(env_.now());
  env_.loop.schedule(late ? random.between(5, 40) : random.between(0.05, 1), [this, release] {
    for (const auto& machine : release.machines) env_.fleet.remove(machine);
  });
  const bool unanswered = late || random.chance(kReleaseAnswerLost);
  const Seconds answered_in =
      unanswered ? env_.options.lease_s * kReleaseDeadlineShare : kReleaseAnswerDelay;
  env_.controllers.schedule_in(
      asker.controller(), asker.weak_from_this(), answered_in,
      [release, unanswered, generation = asker.generation()](ControllerProcess& me) {
        me.on_scale_in_answered(generation, release, !unanswered);
      });
}

}  // namespace sumacquay::simulation
