// More work than room: a job that fits on no machine as they are now waits, and the cloud has no
// more machines. A small job that fits is submitted after it. The record has when it runs.
#include "fleet.h"

using namespace sumacquay;
using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  asio::io_context io;
  Record record(arguments.text("record", "record.txt"));
  const bool trouble = arguments.number("trouble", 1) > 0;
  const bool gang = arguments.text("mode") == "gang";
  const size_t machines = 2;
  TeamSettings team;
  team.name = "loom-desk-00";
  team.gpus_max = 35;
  SubmittedJobs jobs;
  simulators::RuleChecker checker({team}, 40, jobs);
  std::vector<Endpoint> controllers;
  for (const auto& port : arguments.list("controllers"))
    controllers.push_back(loopback(static_cast<unsigned short>(std::stoi(port))));
  FleetContext context{io, record, controllers, arguments.list("names"), 1, 10, 0.3, jobs, checker};
  simulators::KeyValueStoreServerOptions state_options;
  state_options.requests_per_s = 250;
  state_options.writes_per_s = 30;
  simulators::KeyValueStoreServer state(
      io, loopback(static_cast<unsigned short>(arguments.number("state", 0))), state_options);
  Cloud cloud(context, loopback(static_cast<unsigned short>(arguments.number("cloud", 0))),
              {carding_96()}, machines);
  for (size_t i = 0; i < machines; ++i) cloud.add("carding-96", "ratmalana-hall");
  simulators::Users users(io, controllers, jobs, checker);
  const auto job = [&](const std::string& id, const std::string& job_class, JobKind kind,
                       Priority priority, uint32_t tasks, double cpus, double cards, double ram) {
    simulators::SubmittedJob out;
    out.spec.id = id;
    out.spec.job_class = job_class;
    out.spec.team = team.name;
    out.spec.image = "img-07";
    out.spec.image_gb = 1;
    out.spec.kind = kind;
    out.spec.priority = priority;
    out.spec.tasks = tasks;
    out.spec.request = {cpus, cards, ram};
    out.spec.estimate_s = kind == JobKind::Service ? 0 : 5;
    out.run_s = 5;
    return out;
  };
  if (!run_until(io, 15, [&] { return context.reports_answered >= 2 * machines; })) return 2;
  if (gang) {
    users.submit(
        job("job-000100", "warp-clerk", JobKind::Service, Priority::Production, 1, 33, 4, 100));
    users.submit(
        job("job-000101", "dye-ledger", JobKind::Service, Priority::Production, 1, 8, 1, 25));
  } else {
    users.submit(
        job("job-000100", "warp-clerk", JobKind::Service, Priority::Production, 2, 90, 5, 100));
  }
  const auto replicas_run = [&] {
    size_t running = 0;
    for (const auto& [id, worker] : cloud.workers()) running += worker->running();
    return running == 2;
  };
  if (!run_until(io, 10, replicas_run)) return 2;
  users.start_polling(2);
  if (trouble) {
    if (gang) {
      auto loom = job("job-000200", "great-loom", JobKind::Gang, Priority::High, 2, 86, 8, 310);
      loom.spec.image_gb = 118;
      users.submit(loom);
    } else
      users.submit(job("job-000200", "shuttle-sweep", JobKind::Array, Priority::Low, 8, 8, 1, 25));
    record.line(gang ? "job-000200 is submitted: a gang that needs both machines empty"
                     : "job-000200 is submitted: no task fits anywhere while the replicas run");
  }
  run_for(io, gang ? 8 : 4);
  if (gang)
    users.submit(job("job-000300", "shuttle-sweep", JobKind::Array, Priority::Low, 1, 8, 4, 25));
  else
    users.submit(job("job-000300", "yarn-sort", JobKind::Array, Priority::Low, 1, 1, 0, 4.8));
  if (!run_until(io, 5, [&] { return jobs["job-000300"].accepted_at.has_value(); })) return 2;
  record.line(gang ? "job-000300 is accepted: 8 CPUs, 4 cards, 25 GB"
                   : "job-000300 is accepted: 1 CPU, 4.8 GB");
  const bool ran =
      run_until(io, 92, [&] { return jobs["job-000300"].first_started_at.has_value(); });
  record.line(std::string("job-000300 ") + (ran ? "ran" : "was left waiting for 92 s"));
  for (const auto& violation : checker.violations()) record.line(violation);
  return ran ? 0 : 1;
}
