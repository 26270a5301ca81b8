// A gang loses one of its machines. The other machines have its image, the new one has to fetch it
// for longer than gang_wait_s. The gang is started again and again and never runs.
#include "platform.h"

using namespace review;

namespace {

constexpr double kMostWaiting = 90;  ///< from kit/more/hunt/LATER.md
constexpr int kTasks = 4;

Verdict play(Platform& platform) {
  for (size_t i = 0; i < platform.names.size(); ++i) platform.start_controller(i);
  if (!platform.wait_ready(20)) return kCouldNotRun;
  // Machines that are up at the start. Four of them hold the gang's image from earlier work.
  std::vector<std::string> machines;
  for (int i = 0; i < 6; ++i) machines.push_back(platform.add_machine("trireme-96", "a"));
  platform.on_platform([&] {
    for (int i = 1; i <= kTasks; ++i) platform.find_worker(machines[i])->images["image-0"] = now();
    platform.capacity[{"trireme-96", "a"}] = 2;
    return 0;
  });
  // The leader places tasks only on machines whose workers have shown its token. All have to, or
  // the service and the gang would get other machines than the ones meant for them.
  const auto all_known = [&] {
    for (const auto& id : machines)
      if (!platform.find_worker(id)->token_reported()) return false;
    return true;
  };
  if (!platform.wait_for(15, all_known)) return kCouldNotRun;
  JobSpec service = array_job("job-000000", "tameio-ops-00", 2, {33, 4, 100});
  service.kind = JobKind::Service;
  service.priority = Priority::Production;
  service.image = "image-1";
  service.image_gb = 1;
  if (!platform.submit(service, 0)) return kCouldNotRun;
  if (!platform.wait_for(15, [&] { return platform.running_everywhere("job-000000"); }))
    return kCouldNotRun;
  JobSpec gang = array_job("job-000010", "tameio-ops-01", kTasks, {86, 8, 310});
  gang.kind = JobKind::Gang;
  gang.priority = Priority::High;
  gang.one_zone = true;
  gang.image_gb = 92;
  gang.estimate_s = 100;
  if (!platform.submit(gang, 30, 1)) return kCouldNotRun;
  if (!platform.wait_for(20, [&] { return platform.running_everywhere("job-000010"); }))
    return kCouldNotRun;
  Platform::sleep(3);
  if (trouble()) {
    const std::string victim = platform.on_platform([&] {
      for (const auto& [id, worker] : platform.workers)
        for (const auto& [key, attempt] : worker->attempts)
          if (key.first.job == "job-000010") return id;
      return std::string();
    });
    platform.take_machine(victim);
  }
  const double troubled_at = now();
  // Room for the whole gang: as many machines that fit as it has tasks, with none of other jobs'.
  const auto room = [&] {
    int machines_with_room = 0;
    for (const auto& [id, worker] : platform.workers) {
      Resources free = worker->type.capacity;
      for (const auto& [key, attempt] : worker->attempts)
        if (attempt.active() && key.first.job != "job-000010")
          free -= platform.find_job(key.first.job)->spec.request;
      machines_with_room += gang.request.fits_in(free);
    }
    return machines_with_room >= kTasks;
  };
  if (!platform.wait_for(20, room)) return kCouldNotRun;
  const double room_at = now();
  platform.record("four machines have room for the gang, " + std::to_string(room_at - troubled_at) +
                  " s after the trouble");
  bool ran = false;
  while (now() < room_at + kMostWaiting + 1 && !ran) {
    Platform::sleep(5);
    ran = platform.on_platform([&] {
      return platform.running_everywhere("job-000010") ||
             platform.find_job("job-000010")->done.size() == kTasks;
    });
    platform.stage("job-000010", 2);
  }
  return ran ? kHeld : kBroken;
}

}  // namespace

int main(int, char** argv) {
  Options options;
  options.zones = {"a", "b"};
  options.report_s = 6;
  options.lease_s = 31;
  options.gang_peer_s = 8;
  options.cancel_s = 51;
  options.state_rps = 400;
  options.state_write_rps = 180;
  options.txn_ops = 12;
  options.cloud_rps = 5;
  options.list_lag_s = 6;
  options.fd_limit = 2102;
  options.teams = {{"tameio-ops-00", 0, 0, 0, 0}, {"tameio-ops-01", 0, 0, 0, 0}};
  MachineType type;
  type.name = "trireme-96";
  type.capacity = {96, 8, 384};
  type.cache_gb = 600;
  type.fetch_gb_per_s = 2.3;
  type.price = 24.72;
  type.spot_price = 8.2;
  type.boot_s = 60;
  type.zones = {"a", "b"};
  options.types = {type};
  Platform platform(options, argv[1]);
  const Verdict verdict = play(platform);
  platform.record(verdict == kBroken ? "BROKEN" : verdict == kHeld ? "held" : "could not run");
  return verdict;
}
