#include "simulators/cloud_server.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "node/steady_time.h"
#include "simulators/messages.h"
#include "wire/messages.h"

namespace sumacquay::simulators {
namespace {

constexpr Seconds kRateLimitBurst = 2;
constexpr uint64_t kMaxMachinesPerRequest = 50;
constexpr size_t kMaxPageMachines = 500;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

CloudServer::CloudServer(asio::io_context& io, const Endpoint& endpoint, CloudOptions options,
                         SimulatedFleet& fleet)
    : io_(io),
      options_(std::move(options)),
      fleet_(fleet),
      rate_limit_(options_.requests_per_s, kRateLimitBurst),
      server_(io, endpoint, {}, [this](const HttpRequest& request, const Respond& respond) {
        handle(request, respond);
      }) {}

const MachineType* CloudServer::find_type(const std::string& name) const {
  const auto found = std::find_if(options_.types.begin(), options_.types.end(),
                                  [&](const MachineType& type) { return type.name == name; });
  return found == options_.types.end() ? nullptr : &*found;
}

size_t CloudServer::active_machines() const {
  return static_cast<size_t>(
      std::count_if(machines_.begin(), machines_.end(),
                    [](const auto& item) { return !item.second.released_at; }));
}

std::string CloudServer::add_running_machine(const MachineOffering& offering) {
  const std::string id = fleet_.next_id();
  const Seconds before_list_lag = steady_now() - 2 * options_.list_lag_s;
  machines_[id] = {offering, before_list_lag, before_list_lag, false, std::nullopt};
  return fleet_.add(offering, id);
}

void CloudServer::fail(const std::string& id) {
  const auto machine = machines_.find(id);
  if (machine == machines_.end()) return;
  machine->second.failed = true;
  fleet_.remove(id);
}

void CloudServer::handle(const HttpRequest& request, const Respond& respond) {
  ++counts_.requests;
  HttpReply reply{kTooManyRequests, {}, 0};
  if (rate_limit_.try_acquire(1, steady_now()))
    reply = route(request);
  else
    ++counts_.refused;
  auto timer = std::make_shared<asio::steady_timer>(io_, to_microseconds(options_.latency_s));
  timer->async_wait([timer, respond, reply = std::move(reply)](auto error) {
    if (!error) respond(reply);
  });
}

HttpReply CloudServer::route(const HttpRequest& request) {
  if (request.path == wire::path::kTypes) return {kOk, machine_types_body(options_.types), 0};
  if (request.path == wire::path::kRelease) return release(request);
  if (request.path != wire::path::kMachines) return {kNotFound, {}, 0};
  return request.method == "POST" ? scale_out(request) : list(request);
}

HttpReply CloudServer::scale_out(const HttpRequest& request) {
  const auto scale_out_request = parse_scale_out_request(request.body);
  const MachineType* machine_type =
      scale_out_request ? find_type(scale_out_request->type) : nullptr;
  if (!machine_type) return {kBadRequest, {}, 0};
  const auto previous_answer = scale_out_answers_.find(scale_out_request->request_name);
  if (previous_answer != scale_out_answers_.end())
    return {kOk, scale_out_response_body(previous_answer->second), 0};
  const size_t active = active_machines();
  const size_t available = options_.max_machines > active ? options_.max_machines - active : 0;
  const auto count =
      std::min<size_t>({available, scale_out_request->count, kMaxMachinesPerRequest});
  if (count == 0) return {kServiceUnavailable, wire::error_body("no capacity"), 0};
  std::vector<std::string> ids;
  for (size_t i = 0; i < count; ++i) {
    ids.push_back(fleet_.next_id());
    const Seconds now = steady_now();
    const Seconds boot_ends_at = now + machine_type->boot_s;
    machines_[ids.back()] = {
        {scale_out_request->type, scale_out_request->zone, scale_out_request->spot},
        now,
        boot_ends_at,
        false,
        std::nullopt};
    boot(ids.back(), machine_type->boot_s);
  }
  counts_.provisioned += count;
  scale_out_answers_[scale_out_request->request_name] = ids;
  return {kOk, scale_out_response_body(ids), 0};
}

void CloudServer::boot(const std::string& id, Seconds boot_s) {
  auto timer = std::make_shared<asio::steady_timer>(io_, to_microseconds(boot_s));
  timer->async_wait([this, timer, id](auto error) {
    if (error) return;
    const ProvisionedMachine& machine = machines_.at(id);
    if (!machine.released_at) fleet_.add(machine.offering, id);
  });
}

HttpReply CloudServer::release(const HttpRequest& request) {
  const auto ids = parse_release(request.body);
  if (!ids) return {kBadRequest, {}, 0};
  for (const auto& id : *ids) {
    const auto machine = machines_.find(id);
    if (machine == machines_.end() || machine->second.released_at) continue;
    machine->second.released_at = steady_now();
    ++counts_.released;
    fleet_.remove(id);
  }
  return {kOk, scale_out_response_body({}), 0};
}

HttpReply CloudServer::list(const HttpRequest& request) const {
  const std::string after = query_parameter(request.query, "after");
  const auto requested_limit = static_cast<size_t>(
      std::strtoull(query_parameter(request.query, "most").c_str(), nullptr, 10));
  const size_t limit =
      requested_limit ? std::min(requested_limit, kMaxPageMachines) : kMaxPageMachines;
  const Seconds as_of = steady_now() - options_.list_lag_s;
  std::vector<ListedMachine> listed;
  for (auto machine = machines_.upper_bound(after); machine != machines_.end(); ++machine) {
    const auto& [id, provisioned] = *machine;
    if (provisioned.created_at > as_of ||
        (provisioned.released_at && *provisioned.released_at <= as_of))
      continue;
    if (listed.size() == limit) return {kOk, machines_body(listed, true), 0};
    ListedMachine::State state = ListedMachine::State::Running;
    if (provisioned.boot_ends_at > as_of) state = ListedMachine::State::Booting;
    if (provisioned.failed) state = ListedMachine::State::Failed;
    listed.push_back({id, fleet_.address_of(id), provisioned.offering.type,
                      provisioned.offering.zone, provisioned.offering.spot, state,
                      as_of - provisioned.created_at});
  }
  return {kOk, machines_body(listed, false), 0};
}

}  // namespace sumacquay::simulators
