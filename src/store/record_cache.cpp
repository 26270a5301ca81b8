#include "store/record_cache.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

constexpr int kPageItems = 200;
/// From the answer of a watch to the next watch.
constexpr double kWatchIntervalSeconds = 0.004;
/// From a failed read to the next, as a fraction of the lease.
constexpr double kRetryLeaseShare = 0.03;
/// The interval between barriers, in requests that the service accepts in that time.
constexpr double kBarrierIntervalRequests = 8.0;
/// The changes that were asked for are no longer kept.
constexpr int kStatusGone = 410;

/// The prefixes that are loaded, in this order. Finished jobs are not: they are read when asked
/// for.
const std::vector<std::string>& load_order() {
  static const std::vector<std::string> prefixes{keys::kLeader, keys::kTerm, keys::kHost,
                                                 keys::kLive};
  return prefixes;
}

bool changes_are_gone(const HttpResult& result) {
  return result.answered && result.status == kStatusGone;
}

std::optional<wire::StorePage> changes_of(const HttpResult& result) {
  return result.ok() ? wire::parse_changes(result.body) : std::nullopt;
}

}  // namespace

RecordCache::RecordCache(asio::io_context& io, const Settings& settings, KeyValueStoreClient& store,
                         size_t finished_kept)
    : io_(io),
      store_(store),
      watch_wait_s_(settings.lease_s),
      retry_s_(settings.lease_s * kRetryLeaseShare),
      barrier_interval_s_(kBarrierIntervalRequests / settings.state_rps),
      tables_(finished_kept) {}

void RecordCache::start() {
  load();
}

void RecordCache::enter(State next) {
  if (state_ != next)
    log_info("record_cache_state_changed",
             log_field("to", next == State::Loading ? "loading" : "following"));
  state_ = next;
}

void RecordCache::later(double seconds, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(
      io_, std::chrono::microseconds(static_cast<long long>(seconds * 1e6)));
  timer->async_wait([timer, action = std::move(action)](auto error) {
    if (!error) action();
  });
}

void RecordCache::schedule_unless_reloaded(double seconds, std::function<void()> action) {
  later(seconds, [this, generation = generation_, action = std::move(action)] {
    if (generation == generation_) action();
  });
}

void RecordCache::load() {
  enter(State::Loading);
  ++generation_;
  tables_.clear();
  reading_dependency_ = false;
  failed_reads_ = 0;
  loading_since_ = Clock::now();
  reject_waiting_barriers();
  load_page({});
}

void RecordCache::load_page(const LoadPosition& position) {
  const std::string target =
      wire::page_path(load_order()[position.prefix], position.after, kPageItems);
  store_.read(RequestPriority::Record, target,
              [this, position, generation = generation_](const HttpResult& result) {
                if (generation != generation_) return;
                const auto page = result.ok() ? wire::parse_page(result.body) : std::nullopt;
                if (page) return apply_loaded_page(position, *page);
                schedule_unless_reloaded(retry_s_, [this, position] { load_page(position); });
              });
}

void RecordCache::apply_loaded_page(const LoadPosition& position, const wire::StorePage& page) {
  // Changes are followed from the first page's revision on, so none between pages is missed.
  LoadPosition next = position;
  if (!next.first_revision) next.first_revision = page.revision;
  for (const auto& item : page.items) apply_item(item);
  if (page.more && !page.items.empty()) {
    next.after = page.items.back().key;
    return load_page(next);
  }
  next.after.clear();
  ++next.prefix;
  if (next.prefix < load_order().size()) return load_page(next);
  loading_done(*next.first_revision);
}

void RecordCache::loading_done(uint64_t first_revision) {
  tables_.set_revision(first_revision);
  known_at_ = loading_since_;
  enter(State::Following);
  notify_leader_changed();
  notify_job_changed("");
  read_unknown_dependencies();
  follow();
}

void RecordCache::follow() {
  const auto wait_ms = static_cast<uint64_t>(watch_wait_s_ * 1000);
  store_.watch(
      wire::changes_path(keys::kRoot, tables_.revision(), wait_ms), watch_wait_s_,
      [this, generation = generation_, requested_at = Clock::now()](const HttpResult& result) {
        if (generation != generation_) return;
        if (changes_are_gone(result)) return load();
        apply_watch_response(result, requested_at);
      });
}

/// Applies the changes of a watch and schedules the next watch.
void RecordCache::apply_watch_response(const HttpResult& result, Clock::time_point requested_at) {
  const auto page = changes_of(result);
  if (page) apply_changes(*page, requested_at);
  record_read_outcome(result, page.has_value());
  schedule_unless_reloaded(page ? kWatchIntervalSeconds : retry_s_, [this] { follow(); });
}

void RecordCache::read_barrier(BarrierDone done) {
  constexpr size_t kMaxWaiting = 1000;
  if (!loaded() || waiting_.size() >= kMaxWaiting) {
    asio::post(io_, [done = std::move(done)] { done(false); });
    return;
  }
  waiting_.push_back(std::move(done));
  if (!barrier_running_) send_barrier_read();
}

/// A barrier that runs while the cache is being loaded would be answered from a part of it.
void RecordCache::reject_waiting_barriers() {
  for (auto& done : std::exchange(waiting_, {}))
    asio::post(io_, [done = std::move(done)] { done(false); });
}

void RecordCache::send_barrier_read() {
  barrier_running_ = true;
  // Only those who asked before the request is sent are served by it.
  auto served = std::make_shared<std::vector<BarrierDone>>(std::exchange(waiting_, {}));
  store_.read(RequestPriority::Background, wire::changes_path(keys::kRoot, tables_.revision(), 0),
              [this, served, generation = generation_,
               requested_at = Clock::now()](const HttpResult& result) {
                if (generation != generation_) return barrier_answered(*served, false);
                const auto page = changes_of(result);
                if (page) apply_changes(*page, requested_at);
                if (changes_are_gone(result)) load();
                if (generation == generation_) record_read_outcome(result, page.has_value());
                barrier_answered(*served, page.has_value());
              });
}

void RecordCache::barrier_answered(const std::vector<BarrierDone>& served, bool fresh) {
  for (const auto& done : served) done(fresh);
  later(barrier_interval_s_, [this] {
    barrier_running_ = false;
    if (!waiting_.empty()) send_barrier_read();
  });
}

/// The changes of a long partition can be more than an answer may hold, or than arrives in time.
/// They would be asked for in vain until the service drops them. A snapshot comes in pages, so it
/// is loaded instead.
void RecordCache::record_read_outcome(const HttpResult& result, bool readable) {
  constexpr int kMaxFailedReads = 3;
  if (readable) failed_reads_ = 0;
  const bool refused = result.answered && !result.ok();
  if (readable || refused) return;
  ++failed_reads_;
  const std::chrono::duration<double> age = Clock::now() - known_at_;
  if (failed_reads_ >= kMaxFailedReads && loaded() && age.count() > watch_wait_s_)
    reload_if_store_reachable();
}

/// While the service answers nothing at all, an old cache is better than none.
void RecordCache::reload_if_store_reachable() {
  if (probing_) return;
  probing_ = true;
  store_.read(RequestPriority::Background, wire::page_path(keys::kLeader, "", 1),
              [this, generation = generation_](const HttpResult& result) {
                probing_ = false;
                if (result.ok() && generation == generation_ && failed_reads_ > 0) load();
              });
}

void RecordCache::apply_changes(const wire::StorePage& page, Clock::time_point requested_at) {
  for (const auto* item : tables_.newer_changes(page)) apply_item(*item);
  tables_.advance_revision(page.revision);
  known_at_ = std::max(known_at_, requested_at);
}

void RecordCache::apply_item(const wire::StoreItem& item) {
  const AppliedChange change = tables_.apply(item);
  if (change.effect == ChangeEffect::Unreadable)
    log_error("record_unreadable", log_field("key", item.key));
  if (loaded()) notify(change);
}

void RecordCache::notify(const AppliedChange& change) {
  switch (change.effect) {
    case ChangeEffect::JobUpdated:
      read_unknown_dependencies();
      notify_job_changed(change.job);
      break;
    case ChangeEffect::JobEnded:
      notify_job_changed(change.job);
      break;
    case ChangeEffect::LeaderChanged:
      notify_leader_changed();
      break;
    case ChangeEffect::None:
    case ChangeEffect::Unreadable:
    case ChangeEffect::HostChanged:
      break;
  }
}

/// Reads one at a time: they are few, except on a node that has just started.
void RecordCache::read_unknown_dependencies() {
  if (reading_dependency_ || dependencies().unknown().empty()) return;
  reading_dependency_ = true;
  const auto& unknown = dependencies().unknown();
  const auto next = unknown.upper_bound(dependency_read_);
  dependency_read_ = next == unknown.end() ? *unknown.begin() : *next;
  read_dependency(dependency_read_);
}

void RecordCache::read_dependency(const std::string& id) {
  store_.read(
      RequestPriority::Record, wire::item_path(keys::kFinished + id),
      [this, id, generation = generation_](const HttpResult& result) {
        if (generation != generation_) return;
        reading_dependency_ = false;
        const auto page = result.ok() ? wire::parse_item(result.body) : std::nullopt;
        const auto record = page ? wire::decode_finished(page->items[0].value) : std::nullopt;
        if (!record)
          return schedule_unless_reloaded(retry_s_, [this] { read_unknown_dependencies(); });
        cache_finished(id, *record);
        notify_job_changed(id);
        read_unknown_dependencies();
      });
}

void RecordCache::notify_job_changed(const std::string& id) const {
  if (listener_.job_changed) listener_.job_changed(id);
}

void RecordCache::notify_leader_changed() const {
  if (listener_.leader_changed) listener_.leader_changed();
}

void RecordCache::wrote_job(const JobRecord& record, uint64_t version) {
  // While a snapshot is loaded, a delayed answer may be older than what the snapshot deletes.
  if (!loaded() || !tables_.wrote_job(record, version)) return;
  notify({ChangeEffect::JobUpdated, record.spec.id});
}

void RecordCache::wrote_finished(const std::string& id, FinishedRecord record,
                                 uint64_t /*version*/) {
  tables_.add_finished(id, record);
  notify_job_changed(id);
}

void RecordCache::wrote_host(const std::string& id, const HostRecord* record, uint64_t version) {
  if (loaded()) tables_.wrote_host(id, record, version);
}

void RecordCache::wrote_leader(const wire::LeaderRecord& record, uint64_t version) {
  if (loaded()) tables_.wrote_leader(record, version);
}

}  // namespace sumacquay
