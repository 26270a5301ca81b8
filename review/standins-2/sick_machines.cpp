// Machines fail every task that they start for a while, then are sound again. The record has when
// the jobs of that time and those after it run.
#include "fleet.h"

using namespace sumacquay;
using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  asio::io_context io;
  Record record(arguments.text("record", "record.txt"));
  const bool trouble = arguments.number("trouble", 1) > 0;
  // avoid: one job meets the sick machines. quarantine: two do.
  const bool quarantine = arguments.text("mode") == "quarantine";
  const std::vector<std::string> zones{"ratmalana-hall", "ratmalana-hall", "kalutara-yard",
                                       "kalutara-yard",  "kalutara-yard",  "biyagama-shed",
                                       "biyagama-shed",  "biyagama-shed"};
  const size_t machines = zones.size();
  TeamSettings first_team;
  first_team.name = "loom-desk-00";
  first_team.gpus_max = 35;
  TeamSettings second_team = first_team;
  second_team.name = "loom-desk-01";
  SubmittedJobs jobs;
  simulators::RuleChecker checker({first_team, second_team}, 40, jobs);
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
  std::vector<std::string> sick;
  for (const auto& zone : zones) {
    const std::string id = cloud.add("carding-96", zone);
    if (zone == "ratmalana-hall") sick.push_back(id);
  }
  simulators::Users users(io, controllers, jobs, checker);
  const auto job = [&](const std::string& id, JobKind kind, uint32_t tasks, double cpus,
                       double cards) {
    simulators::SubmittedJob out;
    out.spec.id = id;
    out.spec.job_class = kind == JobKind::Service ? "warp-clerk" : "shuttle-sweep";
    out.spec.team = id == "job-000101" ? second_team.name : first_team.name;
    out.spec.image = "img-07";
    out.spec.image_gb = 1;
    out.spec.kind = kind;
    out.spec.priority = kind == JobKind::Service ? Priority::Production : Priority::Low;
    out.spec.tasks = tasks;
    if (kind != JobKind::Service) out.spec.zone = "ratmalana-hall";
    out.spec.request = {cpus, cards, 25};
    out.spec.estimate_s = kind == JobKind::Service ? 0 : 5;
    out.run_s = 5;
    return out;
  };
  const auto ran = [&](const std::string& id) { return jobs[id].first_started_at.has_value(); };

  if (!run_until(io, 15, [&] { return context.reports_answered >= 2 * machines; })) return 2;
  // A replica on each machine: 5 of its 8 cards and 33 of its 96 CPUs are in use, the rest is free.
  users.submit(job("job-000100", JobKind::Service, 4, 33, 5));
  users.submit(job("job-000101", JobKind::Service, 4, 33, 5));
  const auto replicas_run = [&] {
    size_t running = 0;
    for (const auto& [id, worker] : cloud.workers()) running += worker->running();
    return running == machines;
  };
  if (!run_until(io, 10, replicas_run)) return 2;
  if (trouble) {
    for (const auto& id : sick) cloud.worker(id)->set_sick(true);
    record.line("the two machines of ratmalana-hall fail every task that they start");
  }
  users.start_polling(2);
  std::vector<std::string> waiting{"job-000200"};
  users.submit(job("job-000200", JobKind::Array, 1, 8, 1));
  if (quarantine) {
    users.submit(job("job-000201", JobKind::Array, 1, 8, 1));
    waiting.push_back("job-000201");
  }
  const Seconds sick_s = arguments.number("sick_s", 10);
  run_for(io, sick_s);
  for (const auto& id : sick)
    if (Worker* worker = cloud.worker(id)) worker->set_sick(false);
  record.line("the machines are sound again; each has 63 CPUs and 3 cards free");
  if (quarantine) {
    users.submit(job("job-000300", JobKind::Array, 1, 8, 1));
    waiting.push_back("job-000300");
  }
  // The pages: once the troubles are over, no job is left waiting for 90 s while a machine that
  // fits has room and its team is under its limit.
  const bool all_ran = run_until(io, 92, [&] {
    return std::all_of(waiting.begin(), waiting.end(), [&](const auto& id) { return ran(id); });
  });
  size_t running = 0;
  for (const auto& [id, worker] : cloud.workers()) running += worker->running();
  record.line("tasks that run now: " + std::to_string(running) + ", on " +
              std::to_string(cloud.workers().size()) + " machines");
  for (const auto& id : waiting)
    record.line(id + (ran(id) ? " ran" : " was left waiting since the machines are sound"));
  for (const auto& violation : checker.violations()) record.line(violation);
  return all_ran ? 0 : 1;
}
