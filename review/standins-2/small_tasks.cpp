// Stand-ins for the key-value store, the cloud, the workers and the users, all the project's own.
// Two replicas of a service run; then an array is submitted. The record has what became of both.
#include "deployment.h"
#include "wire/json_size.h"
#include "wire/messages.h"
#include "wire/view.h"

using namespace sumacquay;
using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  asio::io_context io;
  Record record(arguments.text("record", "record.txt"));
  constexpr size_t kMachines = 2;
  std::vector<Endpoint> controllers;
  for (const auto& port : arguments.list("controllers"))
    controllers.push_back(loopback(static_cast<unsigned short>(std::stoi(port))));

  TeamSettings desk;
  desk.name = "loom-desk-00";
  desk.gpus_max = 35;
  TeamSettings guest;
  guest.name = "loom-desk-01";
  guest.gpus_max = 35;
  simulators::SubmittedJobs jobs;
  simulators::RuleChecker checker({desk, guest}, 40, jobs);
  simulators::WorkerTiming timing;
  timing.heartbeat_period_s = 1;
  timing.lease_s = 10;
  simulators::WorkerContext context{
      io, arguments.list("names"), controllers, timing,  jobs,   checker,
      {}, std::mt19937_64(1),      nullptr,     nullptr, nullptr};
  std::map<std::string, size_t> ran;
  context.task_running = [&](const std::string& id) { ++ran[id]; };
  simulators::SimulatedFleet fleet(context,
                                   static_cast<unsigned short>(arguments.number("workers", 0)));
  simulators::KeyValueStoreServerOptions state_options;
  state_options.requests_per_s = 250;
  state_options.writes_per_s = 30;
  simulators::KeyValueStoreServer state(
      io, loopback(static_cast<unsigned short>(arguments.number("state", 0))), state_options);
  MachineType type;
  type.name = "carding-96";
  type.capacity = {96, 8, 384};
  type.cache_gb = 400;
  type.fetch_gb_per_s = 4;
  type.price = 30.14;
  type.spot_price = 8.44;
  type.boot_s = 30;
  type.zones = {"ratmalana-hall"};
  simulators::CloudOptions cloud_options;
  cloud_options.types = {type};
  cloud_options.requests_per_s = 6;
  cloud_options.max_machines = kMachines;
  simulators::CloudServer cloud(io,
                                loopback(static_cast<unsigned short>(arguments.number("cloud", 0))),
                                cloud_options, fleet);
  for (size_t i = 0; i < kMachines; ++i)
    cloud.add_running_machine({"carding-96", "ratmalana-hall", false});
  simulators::Users users(io, controllers, jobs, checker);

  simulators::SubmittedJob service;
  service.spec.id = "job-000398";
  service.spec.job_class = "dye-ledger";
  service.spec.team = desk.name;
  service.spec.image = "img-01";
  service.spec.image_gb = 1;
  service.spec.kind = JobKind::Service;
  service.spec.priority = Priority::Production;
  service.spec.tasks = 2;
  service.spec.request = {8, 1, 25};

  simulators::SubmittedJob array;
  array.spec.id = "job-000412";
  array.spec.job_class = "mega-skein";
  array.spec.team = guest.name;
  array.spec.image = "img-07";
  array.spec.image_gb = 0.5;
  array.spec.kind = JobKind::Array;
  array.spec.priority = Priority::Low;
  array.spec.tasks = static_cast<uint32_t>(arguments.number("threads", 3000));
  array.spec.request = {arguments.number("vcpus", 0.05), 0, arguments.number("ram_gb", 0.15)};
  array.spec.estimate_s = 20;
  array.run_s = 20;

  if (!run_until(io, 15, [&] { return context.counts.heartbeats_answered >= 2 * kMachines; }))
    return 2;
  users.submit(service);
  if (!run_until(io, 10, [&] { return ran[service.spec.id] >= 2; })) return 2;
  record.line("job-000398: both replicas of the service run");
  users.submit(array, [&](Seconds) {
    record.line("job-000412: the array is accepted, " + std::to_string(array.spec.tasks) +
                " tasks of " + arguments.text("vcpus", "0.05") + " CPUs that run for 20 s");
  });
  users.start_polling(2);

  // The workers' reports, as they answer a request with too low a token.
  std::map<std::string, std::unique_ptr<HttpClient>> inspectors;
  const auto inspect = [&] {
    for (const auto& id : fleet.ids()) {
      const std::string address = fleet.address_of(id);
      const auto colon = address.rfind(':');
      auto& client = inspectors[id];
      if (!client)
        client = std::make_unique<HttpClient>(
            io,
            Endpoint{address.substr(0, colon),
                     static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))},
            1, 4);
      client->request("POST", "/orders", wire::worker_commands_body(0, 1, {}), 2,
                      [&record, id](const HttpResult& result) {
                        const auto report = wire::Document::parse(result.body);
                        if (!result.answered || !report) return;
                        record.line(id + ": a report of " +
                                    std::to_string(report->root()["threads"].size()) + " tasks, " +
                                    std::to_string(result.body.size()) + " bytes as sent, " +
                                    std::to_string(wire::json_size(report->root())) + " as JSON");
                      });
    }
  };

  const Seconds end = steady_now() + arguments.number("watch_s", 95);
  int rounds = 0;
  while (steady_now() < end && !jobs[array.spec.id].reported_done_at) {
    run_for(io, 2);
    if (rounds++ % 5 == 1) inspect();
    std::ostringstream line;
    line << "on machines " << checker.active_tasks() << ", starts " << checker.starts()
         << ", array tasks completed " << jobs[array.spec.id].done.size() << ", service starts "
         << ran[service.spec.id] << ", worker leases lost " << context.counts.leases_lost
         << ", reports sent " << context.counts.heartbeats << ", answered 200 "
         << context.counts.heartbeats_answered;
    record.line(line.str());
  }
  for (const auto& violation : checker.violations()) record.line(violation);
  const bool done = jobs[array.spec.id].reported_done_at.has_value();
  const size_t completed = jobs[array.spec.id].done.size();
  record.line(done ? "job-000412: the user was told done"
                   : "job-000412: the user was never told done; " + std::to_string(completed) +
                         " tasks completed");
  record.line("job-000398: its two replicas were started " + std::to_string(ran[service.spec.id]) +
              " times");
  if (done) return 0;
  // Not merely slow: in several times the run time of a task not one has completed.
  return completed == 0 ? 1 : 0;
}
