// Stand-ins for the key-value store, the cloud, the workers and the users. Jobs are accepted, then
// the controllers are restarted with settings that announce lower limits of the store (by the
// script, which is told to by a line on standard output), then the limits are lowered.
#include "deployment.h"
#include "state_proxy.h"

using namespace sumacquay;
using namespace review;

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  asio::io_context io;
  Record record(arguments.text("record", "record.txt"));
  const bool lower = arguments.number("lower", 1) > 0;
  std::vector<Endpoint> controllers;
  for (const auto& port : arguments.list("controllers"))
    controllers.push_back(loopback(static_cast<unsigned short>(std::stoi(port))));

  TeamSettings team;
  team.name = "loom-desk-00";
  team.gpus_max = 35;
  simulators::SubmittedJobs jobs;
  simulators::RuleChecker checker({team}, 40, jobs);
  simulators::WorkerTiming timing;
  timing.heartbeat_period_s = 1;
  timing.lease_s = 10;
  simulators::WorkerContext context{
      io, arguments.list("names"), controllers, timing,  jobs,   checker,
      {}, std::mt19937_64(1),      nullptr,     nullptr, nullptr};
  context.task_running = [&](const std::string& id) {
    if (jobs[id].first_started_at) return;
    jobs[id].first_started_at = steady_now();
    record.line(id + " runs");
  };
  simulators::SimulatedFleet fleet(context,
                                   static_cast<unsigned short>(arguments.number("workers", 0)));
  simulators::KeyValueStoreServerOptions state_options;
  state_options.requests_per_s = 250;
  state_options.writes_per_s = 1000;  // the proxy keeps to the rate of writes
  const auto store_port = static_cast<unsigned short>(arguments.number("store", 0));
  simulators::KeyValueStoreServer store(io, loopback(store_port), state_options);
  StateProxy::Limits limits;
  StateProxy proxy(io, loopback(static_cast<unsigned short>(arguments.number("state", 0))),
                   loopback(store_port), limits);

  MachineType type;
  type.name = "carding-96";
  type.capacity = {96, 8, 384};
  type.cache_gb = 400;
  type.price = 30.14;
  type.spot_price = 8.44;
  type.boot_s = 30;
  type.zones = {"ratmalana-hall"};
  simulators::CloudOptions cloud_options;
  cloud_options.types = {type};
  cloud_options.requests_per_s = 6;
  cloud_options.max_machines = 2;
  simulators::CloudServer cloud(io,
                                loopback(static_cast<unsigned short>(arguments.number("cloud", 0))),
                                cloud_options, fleet);
  for (int i = 0; i < 2; ++i) cloud.add_running_machine({"carding-96", "ratmalana-hall", false});
  simulators::Users users(io, controllers, jobs, checker);

  const auto job = [&](const std::string& id, JobKind kind, uint32_t tasks, double cards,
                       Seconds run_s, bool long_list) {
    simulators::SubmittedJob out;
    out.spec.id = id;
    out.spec.job_class = "great-loom";
    out.spec.team = team.name;
    out.spec.image = "img-07";
    out.spec.image_gb = 1;
    out.spec.kind = kind;
    out.spec.priority = Priority::High;
    out.spec.tasks = tasks;
    out.spec.request = {4, cards, 16};
    out.spec.estimate_s = run_s;
    out.run_s = run_s;
    if (long_list) {
      out.spec.types.emplace();
      for (int i = 0; i < 60; ++i)
        out.spec.types->push_back("gpu-accelerated-large-memory-gen-" + std::to_string(100 + i));
      out.spec.types->push_back("carding-96");
    }
    return out;
  };
  const auto accepted = [&](const std::string& id) { return jobs[id].accepted_at.has_value(); };

  if (!run_until(io, 15, [&] { return context.counts.heartbeats_answered >= 2; })) return 2;
  // Two jobs hold all cards for a while; a job with a long list of types and one without wait.
  users.submit(job("job-000001", JobKind::Array, 2, 8, 14, false));
  if (!run_until(io, 10, [&] { return jobs["job-000001"].first_started_at.has_value(); })) return 2;
  users.submit(job("job-000002", JobKind::Array, 1, 1, 3, true));
  users.submit(job("job-000003", JobKind::Array, 1, 1, 3, false));
  users.submit(job("job-000004", JobKind::Array, 1, 1, 600, true));
  if (!run_until(io, 10, [&] {
        return accepted("job-000002") && accepted("job-000003") && accepted("job-000004");
      }))
    return 2;
  record.line("accepted: job-000002 and job-000004 (61 allowed types), job-000003 (any type)");
  users.start_polling(2);
  run_for(io, 1);
  std::cout << "restart" << std::endl;
  std::string answer;
  std::thread wait([&] { std::getline(std::cin, answer); });
  while (answer.empty()) io.run_for(std::chrono::milliseconds(20));
  wait.join();
  record.line("controllers restarted");
  run_for(io, 1);
  if (lower) {
    proxy.set_limits({2, 8, 21});
    record.line("the store's limits are lowered: value_kb 2.0, txn_ops 8, write_rps 21");
  }
  run_until(io, 40, [&] { return jobs["job-000001"].reported_done_at.has_value(); });
  if (!jobs["job-000001"].reported_done_at) return 2;
  record.line("job-000001 told done: both machines have room");
  const Seconds room_since = steady_now();
  users.cancel("job-000004");
  record.line("cancel job-000004, repeated until answered");
  const Seconds watch_s = arguments.number("watch_s", 92);
  bool cancel_noted = false;
  while (steady_now() < room_since + watch_s) {
    run_for(io, 0.2);
    if (jobs["job-000004"].cancel_confirmed_at && !cancel_noted) {
      cancel_noted = true;
      record.line("job-000004 told cancelled");
    }
    if (jobs["job-000002"].reported_done_at && jobs["job-000003"].reported_done_at && cancel_noted)
      break;
  }
  for (const auto& id : {"job-000002", "job-000003"})
    record.line(std::string(id) + (jobs[id].reported_done_at ? " told done" : " never told done") +
                (jobs[id].first_started_at ? ", ran" : ", never ran"));
  if (!cancel_noted) record.line("job-000004: no cancellation was answered with 200");
  record.line("transactions refused as too large: " + std::to_string(proxy.too_large()));
  for (const auto& violation : checker.violations()) record.line(violation);
  if (!jobs["job-000003"].reported_done_at) return 2;  // an ordinary job did not run either
  return jobs["job-000002"].reported_done_at && cancel_noted ? 0 : 1;
}
