#include "store/mirror.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace sumacquay {
namespace {

constexpr int kPage = 200;
const std::vector<std::string>& load_order() {
  static const std::vector<std::string> prefixes{keys::kLeader, keys::kTerm, keys::kHost,
                                                 keys::kLive};
  return prefixes;
}

}  // namespace

Mirror::Mirror(asio::io_context& io, const Settings& s, StoreClient& store, size_t finished_kept)
    : io_(io),
      store_(store),
      wait_s_(s.lease_s),
      barrier_gap_s_(8.0 / s.state_rps),
      finished_kept_(finished_kept) {}

void Mirror::start() {
  load();
}

void Mirror::enter(State next) {
  if (state_ != next) spdlog::info("records: {}", next == State::Loading ? "loading" : "following");
  state_ = next;
}

void Mirror::later(double seconds, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(
      io_, std::chrono::microseconds(static_cast<long long>(seconds * 1e6)));
  timer->async_wait([timer, what = std::move(what)](auto error) {
    if (!error) what();
  });
}

void Mirror::load() {
  enter(State::Loading);
  ++generation_;
  live_.clear();
  hosts_.clear();
  host_deleted_.clear();
  leader_ = {};
  term_ = {};
  leader_seen_ = 0;
  unread_ = 0;
  loading_since_ = std::chrono::steady_clock::now();
  refuse_waiting();
  load_page(0, "", 0);
}

void Mirror::load_page(size_t prefix, const std::string& after, uint64_t from) {
  const uint64_t generation = generation_;
  store_.read(Urgency::Record, wire::page_path(load_order()[prefix], after, kPage),
              [this, prefix, after, from, generation](HttpResult r) {
                if (generation != generation_) return;
                const auto page = r.ok() ? wire::parse_page(r.body) : std::nullopt;
                if (!page)
                  return later(wait_s_ * 0.03, [this, prefix, after, from, generation] {
                    if (generation == generation_) load_page(prefix, after, from);
                  });
                // Changes are followed from the first page's revision on, so none between pages is
                // missed.
                const uint64_t first = from ? from : page->revision;
                for (const auto& item : page->items) apply_item(item);
                if (page->more && !page->items.empty())
                  return load_page(prefix, page->items.back().key, first);
                if (prefix + 1 < load_order().size()) return load_page(prefix + 1, "", first);
                revision_ = first;
                known_at_ = loading_since_;
                enter(State::Following);
                if (listener_.leader_changed) listener_.leader_changed();
                if (listener_.job_changed) listener_.job_changed("");
                follow();
              });
}

void Mirror::follow() {
  const uint64_t generation = generation_;
  const auto asked_at = std::chrono::steady_clock::now();
  store_.watch(wire::changes_path(keys::kRoot, revision_, static_cast<uint64_t>(wait_s_ * 1000)),
               wait_s_, [this, generation, asked_at](HttpResult r) {
                 if (generation != generation_) return;
                 if (r.answered && r.status == 410) return load();
                 const auto page = r.ok() ? wire::parse_changes(r.body) : std::nullopt;
                 if (page) apply(*page, asked_at);
                 note_read(r, page.has_value());
                 later(page ? 0.004 : wait_s_ * 0.03, [this, generation] {
                   if (generation == generation_) follow();
                 });
               });
}

void Mirror::read_barrier(std::function<void(bool)> done) {
  constexpr size_t kMostWaiting = 1000;
  if (!loaded() || waiting_.size() >= kMostWaiting) {
    asio::post(io_, [done = std::move(done)] { done(false); });
    return;
  }
  waiting_.push_back(std::move(done));
  if (!barrier_running_) run_barrier();
}

/// A barrier that runs while the copy is being loaded would be answered from a part of it.
void Mirror::refuse_waiting() {
  for (auto& done : std::exchange(waiting_, {}))
    asio::post(io_, [done = std::move(done)] { done(false); });
}

void Mirror::run_barrier() {
  // Only those who asked before the request is sent are served by it.
  auto served = std::make_shared<std::vector<std::function<void(bool)>>>(std::move(waiting_));
  waiting_.clear();
  barrier_running_ = true;
  const uint64_t generation = generation_;
  const auto asked_at = std::chrono::steady_clock::now();
  store_.read(Urgency::Rest, wire::changes_path(keys::kRoot, revision_, 0),
              [this, served, generation, asked_at](HttpResult r) {
                const auto page = r.ok() && generation == generation_ ? wire::parse_changes(r.body)
                                                                      : std::nullopt;
                if (page) apply(*page, asked_at);
                if (r.answered && r.status == 410 && generation == generation_) load();
                if (generation == generation_) note_read(r, page.has_value());
                for (auto& done : *served) done(page.has_value());
                later(barrier_gap_s_, [this] {
                  barrier_running_ = false;
                  if (!waiting_.empty()) run_barrier();
                });
              });
}

/// The changes of a long absence can be more than an answer may hold, or than arrives in time. They
/// would be asked for in vain until the service drops them; lists come in pages.
void Mirror::note_read(const HttpResult& r, bool readable) {
  constexpr int kMostUnread = 3;
  if (readable) unread_ = 0;
  if (readable || (r.answered && !r.ok())) return;
  const std::chrono::duration<double> age = std::chrono::steady_clock::now() - known_at_;
  if (++unread_ >= kMostUnread && loaded() && age.count() > wait_s_) load_if_served();
}

/// Where nothing at all is answered, an old copy is better than none.
void Mirror::load_if_served() {
  if (probing_) return;
  probing_ = true;
  store_.read(Urgency::Rest, wire::page_path(keys::kLeader, "", 1),
              [this, generation = generation_](HttpResult r) {
                probing_ = false;
                if (r.ok() && generation == generation_ && unread_ > 0) load();
              });
}

void Mirror::apply(const wire::StorePage& page, std::chrono::steady_clock::time_point asked_at) {
  const uint64_t before = revision_;
  // Nothing says that changes come in their order: a key could come back after its deletion.
  std::vector<const wire::StoreItem*> items;
  for (const auto& item : page.items)
    if (item.version > before) items.push_back(&item);
  std::stable_sort(items.begin(), items.end(),
                   [](const auto* x, const auto* y) { return x->version < y->version; });
  for (const auto* item : items) apply_item(*item);
  revision_ = std::max(revision_, page.revision);
  known_at_ = std::max(known_at_, asked_at);
}

void Mirror::apply_item(const wire::StoreItem& item) {
  const bool gone = item.value.missing();
  if (item.key.starts_with(keys::kLive)) {
    const std::string id = item.key.substr(keys::kLive.size());
    auto known = live_.find(id);
    if (known != live_.end() && known->second.version >= item.version) return;
    // A job that is over never comes back, whatever an older change says.
    if (gone || finished_.count(id)) {
      live_.erase(id);
    } else {
      auto record = wire::decode_job(item.value);
      if (!record) return spdlog::error("record {} can't be read", item.key);
      live_[id] = {std::move(*record), item.version};
    }
    if (loaded() && listener_.job_changed) listener_.job_changed(id);
  } else if (item.key.starts_with(keys::kFinished)) {
    const std::string id = item.key.substr(keys::kFinished.size());
    const auto record = gone ? std::nullopt : wire::decode_finished(item.value);
    if (!record) return;
    remember_finished(id, *record);
    if (loaded() && listener_.job_changed) listener_.job_changed(id);
  } else if (item.key.starts_with(keys::kHost)) {
    const std::string id = item.key.substr(keys::kHost.size());
    auto known = hosts_.find(id);
    if (known != hosts_.end() && known->second.version >= item.version) return;
    const auto dead = host_deleted_.find(id);
    if (dead != host_deleted_.end() && dead->second >= item.version) return;
    const auto record = gone ? std::nullopt : wire::decode_host(item.value);
    if (record)
      hosts_[id] = {*record, item.version};
    else
      hosts_.erase(id);
  } else if (item.key == keys::kLeader) {
    if (item.version <= leader_seen_) return;
    leader_seen_ = item.version;
    const auto record = gone ? std::nullopt : wire::decode_leader(item.value);
    leader_ = record ? Versioned<wire::LeaderRecord>{*record, item.version}
                     : Versioned<wire::LeaderRecord>{};
    if (loaded() && listener_.leader_changed) listener_.leader_changed();
  } else if (item.key == keys::kTerm) {
    const auto record = gone ? std::nullopt : wire::decode_leader(item.value);
    if (!record || item.version <= term_.version) return;
    term_ = {*record, item.version};
    if (loaded() && listener_.leader_changed) listener_.leader_changed();
  }
}

void Mirror::remember_finished(const std::string& id, wire::FinishedRecord record) {
  live_.erase(id);
  if (!finished_.emplace(id, record).second) return;
  finished_order_.push_back(id);
  if (finished_order_.size() <= finished_kept_) return;
  finished_.erase(finished_order_.front());
  finished_order_.pop_front();
}

const Versioned<JobRecord>* Mirror::live(const std::string& id) const {
  const auto it = live_.find(id);
  return it == live_.end() ? nullptr : &it->second;
}

const wire::FinishedRecord* Mirror::finished(const std::string& id) const {
  const auto it = finished_.find(id);
  return it == finished_.end() ? nullptr : &it->second;
}

bool Mirror::ended(const std::string& id) const {
  const auto* record = live(id);
  return record ? record->value.state != JobState::Pending : finished(id) != nullptr;
}

/// An answer that was held up may tell of a record that has changed or is gone since. The copy has
/// that change already, or will have it once it is loaded.
bool Mirror::ahead(uint64_t version) const {
  return loaded() && version > revision_;
}

void Mirror::wrote_job(const JobRecord& record, uint64_t version) {
  if (!ahead(version) || finished_.count(record.spec.id)) return;
  auto& slot = live_[record.spec.id];
  if (slot.version >= version) return;
  slot = {record, version};
  if (listener_.job_changed) listener_.job_changed(record.spec.id);
}

void Mirror::wrote_finished(const std::string& id, wire::FinishedRecord record, uint64_t) {
  remember_finished(id, record);
  if (listener_.job_changed) listener_.job_changed(id);
}

void Mirror::wrote_host(const std::string& id, const HostRecord* record, uint64_t version) {
  if (!ahead(version)) return;
  if (record) {
    hosts_[id] = {*record, version};
  } else {
    hosts_.erase(id);
    host_deleted_[id] = version;
  }
}

void Mirror::wrote_leader(const wire::LeaderRecord& record, uint64_t version) {
  if (!ahead(version)) return;
  leader_seen_ = version;
  leader_ = {record, version};
  term_ = {record, version};
}

}  // namespace sumacquay
