#include "simulators/cloud_server.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "node/steady_time.h"
#include "simulators/messages.h"
#include "wire/messages.h"

namespace sumacquay::simulators {
namespace {

constexpr Seconds kBurst = 2;
constexpr uint64_t kMostRented = 50;
constexpr size_t kMostListed = 500;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

}  // namespace

CloudServer::CloudServer(asio::io_context& io, const Endpoint& at, CloudOptions options,
                         SimulatedFleet& fleet)
    : io_(io),
      options_(std::move(options)),
      fleet_(fleet),
      limit_(options_.requests_per_s, kBurst),
      server_(io, at, {}, [this](const HttpRequest& request, const Respond& respond) {
        handle(request, respond);
      }) {}

const MachineType* CloudServer::type(const std::string& name) const {
  const auto found = std::find_if(options_.types.begin(), options_.types.end(),
                                  [&](const MachineType& type) { return type.name == name; });
  return found == options_.types.end() ? nullptr : &*found;
}

size_t CloudServer::in_use() const {
  return static_cast<size_t>(
      std::count_if(machines_.begin(), machines_.end(),
                    [](const auto& item) { return !item.second.released_at; }));
}

std::string CloudServer::add_running(const MachineKind& kind) {
  const std::string id = fleet_.next_id();
  const Seconds long_ago = steady_now() - 2 * options_.list_lag_s;
  machines_[id] = {kind, long_ago, long_ago, false, std::nullopt};
  return fleet_.add(kind, id);
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
  if (limit_.take(1, steady_now()))
    reply = answer(request);
  else
    ++counts_.refused;
  auto timer = std::make_shared<asio::steady_timer>(io_, to_microseconds(options_.latency_s));
  timer->async_wait([timer, respond, reply = std::move(reply)](auto error) {
    if (!error) respond(reply);
  });
}

HttpReply CloudServer::answer(const HttpRequest& request) {
  if (request.path == wire::path::kTypes) return {kOk, types_body(options_.types), 0};
  if (request.path == wire::path::kRelease) return release(request);
  if (request.path != wire::path::kMachines) return {kNotFound, {}, 0};
  return request.method == "POST" ? rent(request) : list(request);
}

HttpReply CloudServer::rent(const HttpRequest& request) {
  const auto rent = parse_rent(request.body);
  const MachineType* rented_type = rent ? type(rent->type) : nullptr;
  if (!rented_type) return {kBadRequest, {}, 0};
  const auto known = answered_rents_.find(rent->request);
  if (known != answered_rents_.end()) return {kOk, rented_body(known->second), 0};
  const size_t used = in_use();
  const size_t left = options_.most_machines > used ? options_.most_machines - used : 0;
  const auto count = std::min<size_t>({left, rent->count, kMostRented});
  if (count == 0) return {kUnavailable, wire::error_body("no capacity"), 0};
  std::vector<std::string> ids;
  for (size_t i = 0; i < count; ++i) {
    ids.push_back(fleet_.next_id());
    const Seconds now = steady_now();
    const Seconds up_at = now + rented_type->boot_s;
    machines_[ids.back()] = {{rent->type, rent->zone, rent->spot}, now, up_at, false, std::nullopt};
    boot(ids.back(), rented_type->boot_s);
  }
  counts_.rented += count;
  answered_rents_[rent->request] = ids;
  return {kOk, rented_body(ids), 0};
}

void CloudServer::boot(const std::string& id, Seconds boot_s) {
  auto timer = std::make_shared<asio::steady_timer>(io_, to_microseconds(boot_s));
  timer->async_wait([this, timer, id](auto error) {
    if (error) return;
    const Rented& machine = machines_.at(id);
    if (!machine.released_at) fleet_.add(machine.kind, id);
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
  return {kOk, rented_body({}), 0};
}

HttpReply CloudServer::list(const HttpRequest& request) const {
  const std::string after = query_field(request.query, "after");
  const auto asked =
      static_cast<size_t>(std::strtoull(query_field(request.query, "most").c_str(), nullptr, 10));
  const size_t most = asked ? std::min(asked, kMostListed) : kMostListed;
  const Seconds as_of = steady_now() - options_.list_lag_s;
  std::vector<ListedMachine> listed;
  for (auto machine = machines_.upper_bound(after); machine != machines_.end(); ++machine) {
    const auto& [id, rented] = *machine;
    if (rented.rented_at > as_of || (rented.released_at && *rented.released_at <= as_of)) continue;
    if (listed.size() == most) return {kOk, machines_body(listed, true), 0};
    ListedMachine::State state = ListedMachine::State::Running;
    if (rented.up_at > as_of) state = ListedMachine::State::Booting;
    if (rented.failed) state = ListedMachine::State::Failed;
    listed.push_back({id, fleet_.address_of(id), rented.kind.type, rented.kind.zone,
                      rented.kind.spot, state, as_of - rented.rented_at});
  }
  return {kOk, machines_body(listed, false), 0};
}

}  // namespace sumacquay::simulators
