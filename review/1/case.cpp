// A direct command that started a task is carried out and answered. The task is stopped to make
// room, cleared, and started on another machine. Then the leader ends, and the request that was
// carried out arrives again: the worker starts the task a second time.
#include <signal.h>

#include "platform.h"

using namespace review;

namespace {

constexpr double kBackAfter = 8;  ///< seconds, from the brief

Verdict play(Platform& platform) {
  for (size_t i = 0; i < platform.names.size(); ++i) platform.start_controller(i);
  if (!platform.wait_ready(20)) return kCouldNotRun;
  const std::string first = platform.add_machine("spindle-48", "a");
  const std::string second = platform.add_machine("spindle-48", "b");
  Platform::sleep(2);
  // Takes all of the second machine for some seconds.
  JobSpec other = array_job("job-000001", "loom-desk-00", 1, {8, 4, 25});
  other.zone = "b";
  if (!platform.submit(other, 4)) return kCouldNotRun;
  if (!platform.wait_for(10, [&] { return platform.running_everywhere("job-000001"); }))
    return kCouldNotRun;
  // The job of the case. Its start has to come as a direct command, not with a report's answer.
  JobSpec job = array_job("job-000010", "loom-desk-01", 1, {8, 4, 25});
  job.priority = Priority::Low;
  HttpRequest start;
  for (int attempt = 0; start.path.empty(); ++attempt) {
    if (attempt == 4) return kCouldNotRun;
    job.id = "job-00001" + std::to_string(attempt);
    if (!platform.submit(job, 60, 1)) return kCouldNotRun;
    if (!platform.wait_for(5, [&] { return platform.running_everywhere(job.id); }))
      return kCouldNotRun;
    platform.on_platform([&] {
      const Worker* const worker = platform.find_worker(first);
      if (!worker) return 0;
      for (const auto& carried_out : worker->carried_out)
        for (const auto& command : carried_out.commands)
          if (command.type == sumacquay::CommandType::Start && command.key.job == job.id)
            start = carried_out.request;
      return 0;
    });
    if (start.path.empty()) platform.cancel(job.id, 1);
    if (start.path.empty()) Platform::sleep(1.5);
  }
  // Urgent work takes the first machine for some seconds: the job's task is stopped and cleared.
  JobSpec urgent = array_job("job-000020", "loom-desk-02", 1, {8, 4, 25});
  urgent.priority = Priority::Production;
  urgent.zone = "a";
  if (!platform.submit(urgent, 8, 2)) return kCouldNotRun;
  // The job goes on at the second machine, and the first one gets free.
  const auto moved = [&] {
    const Worker* const from = platform.find_worker(first);
    const Worker* const to = platform.find_worker(second);
    if (!from || !to || !from->attempts.empty()) return false;
    for (const auto& [key, state] : to->attempts)
      if (key.first.job == job.id && state.state == TaskState::Running) return true;
    return false;
  };
  if (!platform.wait_for(30, moved)) return kCouldNotRun;
  platform.record("the job runs on " + second + " alone; " + first + " has been cleared");
  Platform::sleep(1);
  if (trouble()) {
    const size_t leader =
        platform.on_platform([&] { return platform.find_worker(first)->controller(); });
    platform.kill_controller(leader);
    Platform::sleep(0.2);
    platform.repeat_request(first, start);
    Platform::sleep(kBackAfter);
    platform.start_controller(leader);
  }
  Platform::sleep(5);
  platform.stage(job.id, 1);
  return platform.on_platform([&] { return platform.violations.empty(); }) ? kHeld : kBroken;
}

}  // namespace

int main(int, char** argv) {
  Options options;
  options.teams = {{"loom-desk-00", 0, 0, 16, 35},
                   {"loom-desk-01", 0, 0, 16, 35},
                   {"loom-desk-02", 0, 0, 16, 35}};
  MachineType type;
  type.name = "spindle-48";
  type.capacity = {48, 4, 288};
  type.cache_gb = 600;
  type.fetch_gb_per_s = 9;
  type.price = 13.38;
  type.spot_price = 4.42;
  type.boot_s = 50;
  type.zones = {"a", "b", "c"};
  options.types = {type};
  Platform platform(options, argv[1]);
  const Verdict verdict = play(platform);
  platform.record(verdict == kBroken ? "BROKEN" : verdict == kHeld ? "held" : "could not run");
  return verdict;
}
