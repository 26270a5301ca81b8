#include "peer/peers.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace sumacquay {
namespace {
using Clock = std::chrono::steady_clock;
constexpr double kRecent = 4;  ///< periods for which what was heard still counts
/// Seconds between details: what users are shown may lag by 3 s.
constexpr double kDetails = 2.4;
/// What helps a successor may be older.
constexpr int kHintsBeats = 2;
constexpr size_t kMostBody = HttpLimits{}.body_bytes;
}  // namespace

Peers::Peers(asio::io_context& io, const Settings& settings, double period_s, Hooks hooks)
    : io_(io),
      settings_(settings),
      period_s_(period_s),
      hooks_(std::move(hooks)),
      timer_(io),
      beats_a_detail_(std::max(1, static_cast<int>(kDetails / period_s))) {
  for (const auto& p : settings.peers) {
    partners_[p.node].heard = Clock::now();
    clients_[p.node] = std::make_unique<HttpClient>(io, p.addr, 2, 4);
  }
}

void Peers::start() {
  HttpLimits limits;
  limits.connections = 4 * settings_.peers.size() + 8;
  server_ = std::make_unique<HttpServer>(
      io_, settings_.peer_listen, limits, [this](const HttpRequest& request, Respond respond) {
        const auto heartbeat = request.path == wire::path::kHeartbeat
                                   ? wire::decode_heartbeat(request.body)
                                   : std::nullopt;
        if (!heartbeat) return respond({400, {}, 0});
        note(*heartbeat);
        respond({200, wire::encode_heartbeat(hooks_.answer(*heartbeat)), 0});
      });
  beat();
}

void Peers::beat_now(wire::HeartbeatPart part) {
  const wire::Heartbeat own = hooks_.own(part);
  if (own.leading) keep_details(own);
  const std::string body = wire::encode_heartbeat_within(own, kMostBody);
  for (auto& [node, client] : clients_) {
    if (client->in_progress() > 1) continue;
    client->request("POST", wire::path::kHeartbeat, body, period_s_ * 2,
                    [this, node = node, asked_at = Clock::now()](HttpResult r) {
                      const auto heartbeat = r.ok() ? wire::decode_heartbeat(r.body) : std::nullopt;
                      if (!heartbeat) return;
                      note(*heartbeat);
                      hooks_.answered(node, *heartbeat, asked_at);
                    });
  }
}

/// Each partner that falls silent or is heard again is told once, for operators.
void Peers::log_partners() {
  for (auto& [node, partner] : partners_) {
    const std::chrono::duration<double> age = Clock::now() - partner.heard;
    const bool silent = age.count() > kRecent * period_s_;
    if (silent == partner.silent) continue;
    partner.silent = silent;
    spdlog::info("partner {}: {}", node, silent ? "silent" : "heard again");
  }
}

void Peers::beat() {
  log_partners();
  const int count = beats_++;
  beat_now(count % beats_a_detail_ == 0 ? wire::HeartbeatPart::Counts : wire::HeartbeatPart::Beat);
  if (count % (kHintsBeats * beats_a_detail_) == 0) beat_now(wire::HeartbeatPart::Hints);
  timer_.expires_after(std::chrono::microseconds(static_cast<long long>(period_s_ * 1e6)));
  timer_.async_wait([this](auto error) {
    if (!error) beat();
  });
}

void Peers::note(const wire::Heartbeat& heartbeat) {
  const auto partner = partners_.find(heartbeat.node);
  if (partner != partners_.end()) partner->second.heard = Clock::now();
  if (heartbeat.served) served_heard_ = Clock::now();
  if (!heartbeat.leading || heartbeat.term < leader_term_) return;
  leader_ = heartbeat.node;
  leader_term_ = heartbeat.term;
  leader_heard_ = Clock::now();
  keep_details(heartbeat);
}

void Peers::keep_details(const wire::Heartbeat& heartbeat) {
  if (heartbeat.part == wire::HeartbeatPart::Hints) {
    images_ = heartbeat.images;
    booting_ = heartbeat.booting;
    hints_heard_ = Clock::now();
  } else if (heartbeat.part == wire::HeartbeatPart::Counts) {
    counts_.clear();
    for (const auto& c : heartbeat.counts) counts_[c.job] = c;
  }
}

std::string Peers::leader() const {
  const std::chrono::duration<double> age = Clock::now() - leader_heard_;
  return age.count() < kRecent * period_s_ ? leader_ : std::string();
}

bool Peers::others_served() const {
  const std::chrono::duration<double> age = Clock::now() - served_heard_;
  return age.count() < kRecent * period_s_;
}

std::vector<ListedMachine> Peers::booting() const {
  const std::chrono::duration<double> age = Clock::now() - hints_heard_;
  auto out = booting_;
  for (auto& m : out) m.age_s += age.count();
  return out;
}

wire::RunningCount Peers::counts(const std::string& job) const {
  const auto it = counts_.find(job);
  return it == counts_.end() ? wire::RunningCount{job, 0, 0} : it->second;
}

}  // namespace sumacquay
