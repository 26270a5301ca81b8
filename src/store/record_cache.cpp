#include "store/record_cache.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "logging/log_event.h"

namespace sumacquay {
namespace {

/// Delay between the response to a watch and the next watch.
constexpr double kWatchIntervalSeconds = 0.004;
/// Delay after a failed read, as a fraction of the worker lease.
constexpr double kRetryDelayLeaseFraction = 0.03;
/// Interval between read barriers, as the number of requests that the store's rate limit admits in
/// that time.
constexpr double kBarrierIntervalRequests = 8.0;
/// Status for changes since a revision whose history the store no longer keeps.
constexpr int kStatusGone = 410;

bool changes_compacted(const HttpResult& result) {
  return result.answered && result.status == kStatusGone;
}

std::optional<wire::StorePage> parse_changes_page(const HttpResult& result) {
  return result.ok() ? wire::parse_changes(result.body) : std::nullopt;
}

}  // namespace

RecordCache::RecordCache(asio::io_context& io, const Settings& settings, KeyValueStoreClient& store,
                         size_t max_finished)
    : io_(io),
      store_(store),
      watch_timeout_s_(settings.lease_s),
      retry_delay_s_(settings.lease_s * kRetryDelayLeaseFraction),
      barrier_interval_s_(kBarrierIntervalRequests / settings.state_rps),
      tables_(max_finished),
      generation_(io),
      snapshot_loader_(store, generation_, retry_delay_s_,
                       {[this](const wire::StoreItem& item) { apply_item(item); },
                        [this](uint64_t first_revision) { on_snapshot_loaded(first_revision); }}),
      dependency_reader_(store, generation_, tables_, retry_delay_s_,
                         [this](const std::string& id, FinishedRecord record) {
                           cache_finished(id, record);
                           notify_job_changed(id);
                         }) {}

void RecordCache::start() {
  load();
}

void RecordCache::set_state(State next) {
  if (state_ != next)
    log_info("record_cache_state_changed",
             log_field("to", next == State::Loading ? "loading" : "following"));
  state_ = next;
}

void RecordCache::load() {
  set_state(State::Loading);
  generation_.advance();
  tables_.clear();
  dependency_reader_.reset();
  failed_reads_ = 0;
  load_started_at_ = Clock::now();
  reject_waiting_barriers();
  snapshot_loader_.load();
}

void RecordCache::on_snapshot_loaded(uint64_t first_revision) {
  tables_.set_revision(first_revision);
  fresh_as_of_ = load_started_at_;
  set_state(State::Following);
  notify_leader_changed();
  notify_job_changed("");
  dependency_reader_.read_unknown();
  send_watch();
}

void RecordCache::send_watch() {
  const auto wait_ms = static_cast<uint64_t>(watch_timeout_s_ * 1000);
  const auto on_response = [this, requested_at = Clock::now()](const HttpResult& result) {
    if (changes_compacted(result)) return load();
    apply_watch_response(result, requested_at);
  };
  store_.watch(wire::changes_path(keys::kRoot, tables_.revision(), wait_ms), watch_timeout_s_,
               generation_.unless_reloaded(on_response));
}

/// Applies the changes from a watch response and schedules the next watch.
void RecordCache::apply_watch_response(const HttpResult& result, Clock::time_point requested_at) {
  const auto page = parse_changes_page(result);
  if (page) apply_changes(*page, requested_at);
  track_read_outcome(result, page.has_value());
  generation_.schedule_unless_reloaded(page ? kWatchIntervalSeconds : retry_delay_s_,
                                       [this] { send_watch(); });
}

void RecordCache::read_barrier(BarrierDone done) {
  constexpr size_t kMaxWaitingBarriers = 1000;
  if (!loaded() || waiting_barriers_.size() >= kMaxWaitingBarriers) {
    asio::post(io_, [done = std::move(done)] { done(false); });
    return;
  }
  waiting_barriers_.push_back(std::move(done));
  if (!barrier_running_) send_barrier_read();
}

/// Barriers are rejected when a load starts, because they would be answered from a partly loaded
/// cache.
void RecordCache::reject_waiting_barriers() {
  for (auto& done : std::exchange(waiting_barriers_, {}))
    asio::post(io_, [done = std::move(done)] { done(false); });
}

void RecordCache::send_barrier_read() {
  barrier_running_ = true;
  // A response covers only the barriers that were requested before the read was sent.
  auto barriers = std::make_shared<std::vector<BarrierDone>>(std::exchange(waiting_barriers_, {}));
  store_.read(RequestPriority::Background, wire::changes_path(keys::kRoot, tables_.revision(), 0),
              [this, barriers, generation = generation_.current(),
               requested_at = Clock::now()](const HttpResult& result) {
                if (generation != generation_.current()) return complete_barriers(*barriers, false);
                const auto page = parse_changes_page(result);
                if (page) apply_changes(*page, requested_at);
                if (changes_compacted(result)) load();
                if (generation == generation_.current())
                  track_read_outcome(result, page.has_value());
                complete_barriers(*barriers, page.has_value());
              });
}

void RecordCache::complete_barriers(const std::vector<BarrierDone>& barriers, bool fresh) {
  for (const auto& done : barriers) done(fresh);
  generation_.schedule(barrier_interval_s_, [this] {
    barrier_running_ = false;
    if (!waiting_barriers_.empty()) send_barrier_read();
  });
}

/// Falls back to loading a snapshot after repeated failed reads. After a long partition the changes
/// can exceed what a response may hold or what arrives before the deadline, and retries would fail
/// until the store drops the changes; a snapshot is read page by page.
void RecordCache::track_read_outcome(const HttpResult& result, bool succeeded) {
  constexpr int kMaxFailedReads = 3;
  if (succeeded) failed_reads_ = 0;
  const bool rejected = result.answered && !result.ok();
  if (succeeded || rejected) return;
  ++failed_reads_;
  const std::chrono::duration<double> age = Clock::now() - fresh_as_of_;
  if (failed_reads_ >= kMaxFailedReads && loaded() && age.count() > watch_timeout_s_)
    reload_if_store_reachable();
}

/// Probes the store first, because a stale cache is better than none while the store is
/// unreachable.
void RecordCache::reload_if_store_reachable() {
  if (probe_in_flight_) return;
  probe_in_flight_ = true;
  store_.read(RequestPriority::Background, wire::page_path(keys::kLeader, "", 1),
              [this, generation = generation_.current()](const HttpResult& result) {
                probe_in_flight_ = false;
                if (result.ok() && generation == generation_.current() && failed_reads_ > 0) load();
              });
}

void RecordCache::apply_changes(const wire::StorePage& page, Clock::time_point requested_at) {
  for (const auto* item : tables_.newer_changes(page)) apply_item(*item);
  tables_.advance_revision(page.revision);
  fresh_as_of_ = std::max(fresh_as_of_, requested_at);
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
      dependency_reader_.read_unknown();
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

void RecordCache::notify_job_changed(const std::string& id) const {
  if (listener_.job_changed) listener_.job_changed(id);
}

void RecordCache::notify_leader_changed() const {
  if (listener_.leader_changed) listener_.leader_changed();
}

void RecordCache::on_job_written(const JobRecord& record, uint64_t version) {
  // During a load the tables still have the revision of before the load. The snapshot, or the watch
  // that follows it, will include the write.
  if (!loaded() || !tables_.on_job_written(record, version)) return;
  notify({ChangeEffect::JobUpdated, record.spec.id});
}

void RecordCache::on_finished_written(const std::string& id, FinishedRecord record,
                                      uint64_t /*version*/) {
  tables_.add_finished(id, record);
  notify_job_changed(id);
}

void RecordCache::on_host_written(const std::string& id, const HostRecord* record,
                                  uint64_t version) {
  if (loaded()) tables_.on_host_written(id, record, version);
}

void RecordCache::on_leader_written(const wire::LeaderRecord& record, uint64_t version) {
  if (loaded()) tables_.on_leader_written(record, version);
}

}  // namespace sumacquay
