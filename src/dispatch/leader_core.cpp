#include "dispatch/leader_core.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace sumacquay {
namespace {

/// Attempts and tokens carry the term in their upper part, so no later leader repeats one.
constexpr int kTermShift = 20;
/// Keeps an answer to a worker well under the protocol's 64 KiB.
constexpr size_t kMostCommands = 300;

/// The part of a machine's cache that is counted on: fetches that were given up, and images of
/// tasks that an earlier leader started, take room that nobody has told this one about.
constexpr double kSureCache = 0.8;

/// The part of a record's value that its done numbers may take, and the most a span takes.
constexpr double kDoneShare = 0.4;
constexpr size_t kSpanBytes = 10;
/// The same for the names of its machines, and what a name takes beside its letters.
constexpr double kHostsShare = 0.2;
constexpr size_t kTextBytes = 2;
/// What a record takes beside its done numbers, and the size of a transaction, well under the limit
/// of 64 KiB.
constexpr size_t kRecordBytes = 1200;
constexpr size_t kMostBytes = 48 * 1024;

Run::Phase phase_of(TaskState s) {
  switch (s) {
    case TaskState::Fetching:
      return Run::Phase::Fetching;
    case TaskState::Waiting:
      return Run::Phase::Waiting;
    case TaskState::Running:
      return Run::Phase::Running;
    case TaskState::Saving:
      return Run::Phase::Saving;
    case TaskState::Exited:
      return Run::Phase::Exited;
  }
  return Run::Phase::Exited;
}

}  // namespace

LeaderCore::LeaderCore(const Settings& settings, uint64_t term, Seconds now, Seconds fence,
                       Seconds wall_offset)
    : settings_(settings),
      term_(term),
      began_(now),
      fence_(fence),
      wall_offset_(wall_offset),
      awake_since_(now),
      ticked_(now),
      delegations_(term, settings.delegation_after_s()) {}

const Job* LeaderCore::find_job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Job* LeaderCore::find_job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::unordered_map<std::string, uint32_t> LeaderCore::running_counts() const {
  std::unordered_map<std::string, uint32_t> out;
  for (const auto& [id, m] : machines_)
    for (const auto& [key, run] : m.runs)
      if (run.phase == Run::Phase::Running) ++out[key.task.job];
  return out;
}

// ---------------------------------------------------------------- records

namespace {

void narrow(Job& job, const std::optional<std::vector<std::string>>& hosts) {
  if (!hosts) return;
  if (!job.narrowed) {
    job.narrowed = hosts;
    return;
  }
  std::erase_if(*job.narrowed, [&](const std::string& id) {
    return !std::binary_search(hosts->begin(), hosts->end(), id);
  });
}

/// Whether the record tells the next leader every place where a task of the job may be.
bool record_covers(const Job& job) {
  for (const auto& [task, places] : job.at)
    for (const auto& [machine, attempt] : places)
      if (!job.covers(machine)) return false;
  return true;
}

}  // namespace

void LeaderCore::job_stored(const JobRecord& record, uint64_t version, Seconds now) {
  auto [it, added] = jobs_.try_emplace(record.spec.id);
  Job& job = it->second;
  if (!added && job.version >= version) return;
  job.stored = record;
  job.version = version;
  job.narrowed.reset();
  job.want_hosts = job.want_hosts && !record_covers(job);
  if (added) {
    job.done = record.done;
    note_arrival(record);
    spdlog::debug("{} arrives: {} tasks of {}", record.spec.id, record.spec.tasks,
                  record.spec.job_class);
    // A report may have brought tasks of this job before its record was read.
    for (auto& [id, m] : machines_)
      for (auto& [key, run] : m.runs)
        if (key.task.job == record.spec.id && run.present()) adopt(m, key, run, job, now);
  }
  if (record.state != JobState::Pending) stop_job(job, false, now);
}

void LeaderCore::job_finished(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  for (auto& [task, places] : it->second.at)
    for (const auto& [machine, attempt] : places) {
      auto m = machines_.find(machine);
      if (m == machines_.end()) continue;
      auto run = m->second.runs.find({{id, task}, attempt});
      if (run != m->second.runs.end()) run->second.wanted = false;
    }
  jobs_.erase(it);
}

void LeaderCore::host_stored(const HostRecord& host, Seconds now) {
  Machine& m = machines_[host.id];
  m.info = host;
  m.stage = Machine::Stage::Up;
  m.recorded = true;
  m.first_seen = m.last_report = now;  // until its worker has found this leader
  ++unaccounted_;
}

void LeaderCore::image_held(const std::string& machine, const std::string& image, double gb) {
  const auto m = machines_.find(machine);
  if (m != machines_.end()) use_image(m->second, image, gb);
}

void LeaderCore::use_image(Machine& m, const std::string& image, double gb) {
  const MachineType* t = type(m.info.type);
  if (!image.empty()) m.images.use(image, gb, t ? t->cache_gb * kSureCache : 0);
}

/// Whether a job's record is to be written, and how urgently.
LeaderCore::WriteUrgency LeaderCore::write_urgency(const Job& job, Seconds now) const {
  if (job.writing || job.version == 0) return WriteUrgency::None;
  if ((job.want_started && !job.stored.started) || job.want_hosts) return WriteUrgency::Start;
  if (job.stored.state == JobState::Pending && job.complete()) return WriteUrgency::Done;
  // It stays among the live records until nothing of it is left anywhere: the next leader must
  // know what may still take room and count against a limit.
  if (job.stored.state != JobState::Pending && nowhere(job)) return WriteUrgency::Finished;
  // Progress of an array is written in batches, as far as its record has room for it.
  const bool due = now >= job.progress_since + settings_.report_s;
  if (job.done.count() != job.stored.done.count() && due &&
      !(recordable(job.done) == job.stored.done))
    return WriteUrgency::Progress;
  return WriteUrgency::None;
}

/// What finds no room in a record stays with the workers until earlier tasks close the gaps.
Ranges LeaderCore::recordable(const Ranges& done) const {
  return done.first_spans(static_cast<size_t>(settings_.state_value_kb * 1024 * kDoneShare) /
                          kSpanBytes);
}

/// Where the job's tasks may be, for the next leader: what that one can't account for then holds
/// back this job only if it is among them. None if that would take too much of a record.
std::optional<std::vector<std::string>> LeaderCore::possible_hosts(const Job& job) const {
  if (missing_in_doubt(job) && !job.stored.hosts) return std::nullopt;
  std::set<std::string> hosts;
  for (const auto& [task, places] : job.at)
    for (const auto& [machine, attempt] : places) hosts.insert(machine);
  for (const auto& id : job.stored.hosts.value_or(std::vector<std::string>{})) {
    const auto m = machines_.find(id);
    if (m != machines_.end() && !m->second.accounted) hosts.insert(id);
  }
  size_t bytes = 0;
  for (const auto& id : hosts) bytes += id.size() + kTextBytes;
  if (bytes > settings_.state_value_kb * 1024 * kHostsShare) return std::nullopt;
  return std::vector<std::string>(hosts.begin(), hosts.end());
}

RecordWrite LeaderCore::write_for(const Job& job) const {
  RecordWrite w;
  w.job = job.spec().id;
  w.version = job.version;
  w.record = job.stored;
  w.record->done = recordable(job.done);
  if (job.stored.state == JobState::Pending && job.complete()) w.record->state = JobState::Done;
  w.record->started = job.stored.started || job.want_started;
  if (w.record->started) w.record->hosts = possible_hosts(job);
  w.finished = w.record->state != JobState::Pending && nowhere(job);
  return w;
}

std::vector<RecordWrite> LeaderCore::wanted_writes(Seconds now, size_t most_changes) {
  std::vector<RecordWrite> out;
  size_t changes = 0, bytes = 0;
  for (auto& [id, m] : machines_) {
    if (!m.recording || m.recorded || writing_hosts_.count(id) || changes >= most_changes) continue;
    RecordWrite w;
    w.host = id;
    w.host_record = m.info;
    writing_hosts_.insert(id);
    out.push_back(std::move(w));
    ++changes;
  }
  // Starts wait for some of them and users for others; what is merely tidied up comes last.
  std::vector<std::pair<WriteUrgency, Job*>> order;
  for (auto& [id, job] : jobs_)
    if (const auto urgency = write_urgency(job, now); urgency != WriteUrgency::None)
      order.emplace_back(urgency, &job);
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto& [urgency, job] : order) {
    if (changes + 2 > most_changes || bytes > kMostBytes) return out;
    RecordWrite w = write_for(*job);
    job->writing = true;
    narrow(*job, w.record->hosts);
    changes += w.changes();
    bytes += kRecordBytes + w.record->done.spans() * kSpanBytes;
    for (const auto& id : w.record->hosts.value_or(std::vector<std::string>{}))
      bytes += id.size() + kTextBytes;
    out.push_back(std::move(w));
  }
  for (const auto& id : hosts_to_delete_) {
    if (changes >= most_changes) return out;
    if (!writing_hosts_.insert(id).second) continue;
    RecordWrite w;
    w.host = id;
    out.push_back(std::move(w));
    ++changes;
  }
  return out;
}

void LeaderCore::write_done(const RecordWrite& w, bool committed, uint64_t version, Seconds now) {
  if (!w.host.empty()) {
    writing_hosts_.erase(w.host);
    if (!committed) return;
    if (!w.host_record) hosts_to_delete_.erase(w.host);
    const auto m = machines_.find(w.host);
    if (m != machines_.end() && w.host_record) m->second.recorded = true;
    return;
  }
  const auto it = jobs_.find(w.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  job.writing = false;
  if (!committed) return;
  if (w.finished) return job_finished(w.job);
  job_stored(*w.record, version, now);
  if (job.done == job.stored.done) job.progress_since = -1;
}

// ---------------------------------------------------------------- reports

Machine& LeaderCore::machine_of(const WorkerReport& r, Seconds now) {
  auto [it, added] = machines_.try_emplace(r.machine);
  Machine& m = it->second;
  if (added) {
    m.first_seen = now;
    m.info.id = r.machine;
    m.accounted = true;  // no record: no start was ever ordered there
  }
  m.info.addr = r.addr;
  m.info.type = r.type;
  m.info.zone = r.zone;
  m.info.spot = r.spot;
  return m;
}

void LeaderCore::account(Machine& m) {
  if (m.accounted) return;
  m.accounted = true;
  --unaccounted_;
  if (unaccounted_ == 0) spdlog::info("every machine is accounted for");
}

LeaderCore::ReportAnswer LeaderCore::report(const WorkerReport& r, bool may_act, Seconds now) {
  if (returned_.count(r.machine)) return {};  // held on its way until the machine was gone
  Machine& m = machine_of(r, now);
  ReportAnswer answer;
  const auto at = std::make_pair(r.session, r.seq);
  if (at <= std::make_pair(m.report_session, m.report_seq)) return answer;
  if (r.session < m.session) return answer;
  m.report_session = r.session;
  m.report_seq = r.seq;
  answer.fresh = true;
  m.answered = now;
  m.last_report = now;
  const bool newest = at > std::make_pair(m.session, m.seq), no_orders_out = !m.order_in_flight;
  if (newest) take_in(m, r, no_orders_out, now);
  if (newest && may_act && m.proven && no_orders_out)
    answer.commands = commands_for(m, true);
  else
    // The answer renews the worker's lease: without these a cancelled task whose stop was lost
    // would go on for as long as it is renewed, though this leader may do nothing else there.
    answer.commands = stops_of_ended(r, [this](const std::string& id) { return ended(id); });
  // A greeting shows it the token faster than it would report again.
  if (!m.proven) m.next_greeting = now;
  answer.token = token(m);
  return answer;
}

void LeaderCore::orders_done(const std::string& id, const std::optional<WorkerReport>& r,
                             bool executed, Seconds now) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  m.order_in_flight = false;
  if (!executed) {
    // The order may still be executed, minutes later: a raised token ends that, and until the
    // worker has shown it nothing new is started there and nothing counts as gone.
    ++m.counter;
    m.proven = false;
    m.next_order = now + settings_.report_s;
    for (auto& [key, run] : m.runs) run.stop_sent = false;
  }
  if (!r || r->machine != id) return;
  if (std::make_pair(r->session, r->seq) > std::make_pair(m.session, m.seq))
    take_in(m, *r, false, now);
}

void LeaderCore::probed(const std::string& id, const std::optional<WorkerReport>& r, Seconds now) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine& m = it->second;
  m.probing = false;
  if (!r || r->machine != id) {
    m.unanswered = late_with_report(m, now);
    return;
  }
  if (std::make_pair(r->session, r->seq) > std::make_pair(m.session, m.seq))
    take_in(m, *r, false, now);
}

void LeaderCore::not_probed(const std::string& id) {
  const auto it = machines_.find(id);
  if (it != machines_.end()) it->second.probing = false;
}

void LeaderCore::take_in(Machine& m, const WorkerReport& r, bool absence_counts, Seconds now) {
  if (r.session > m.session) {
    // A new session begins with nothing: the old one's tasks ended with its lease.
    remove_all_runs(m);
    m.error_jobs.clear();
    m.proven = false;
    m.session = r.session;
    // Its lease counts from when it began. Learnt from an answer to an order or a probe, the last
    // answer to a report would say that it is over while new tasks run.
    m.answered = std::max(m.answered, now);
  }
  m.seq = r.seq;
  m.token_seen = std::max(m.token_seen, r.token);
  m.last_heard = now;
  m.unanswered = false;
  if (m.stage == Machine::Stage::Booting) {
    m.up_since = now;
    auto& newest = newest_up_[m.info.type];
    newest = std::max(newest, m.first_seen);
  }
  if (m.stage == Machine::Stage::Booting || m.stage == Machine::Stage::Expired)
    m.stage = Machine::Stage::Up;
  m.taken_at = r.notice_s ? std::optional<Seconds>(now + *r.notice_s) : std::nullopt;
  const bool ours = r.token >= token(m);
  if (ours && !m.order_in_flight) m.proven = true;
  for (const auto& t : r.tasks) take_in_task(m, t, now);
  if (ours && absence_counts) {
    std::set<RunKey> listed;
    for (const auto& t : r.tasks) listed.insert({t.key, t.attempt});
    std::vector<RunKey> gone;
    for (const auto& [key, run] : m.runs)
      if (!listed.count(key) && !(run.phase == Run::Phase::Ordered && run.wanted))
        gone.push_back(key);
    for (const auto& key : gone) {
      const auto run = m.runs.find(key);
      if (run == m.runs.end()) continue;
      const bool present = run->second.present();
      remove_run(m, key);
      if (present) stop_gang_of(key.task, now);
    }
  }
  if (ours) {
    // An earlier leader's answers are dropped from here on; its last one can't have been later.
    if (m.old_answers) m.answered = std::max(m.answered, now);
    m.old_answers = false;
    account(m);
  }
}

/// A task that an earlier leader started is kept, unless it should not be there.
void LeaderCore::adopt(Machine& m, const RunKey& key, Run& run, Job& job, Seconds now) {
  const JobSpec& spec = job.spec();
  run.need = spec.need;
  run.image = spec.image;
  run.image_gb = spec.image_gb;
  add_presence(m, key);
  const bool gang = spec.kind == JobKind::Gang;
  uint64_t newest = key.attempt;
  for (const auto& [task, places] : job.at)
    if (gang || task == key.task.task)
      for (const auto& [machine, attempt] : places) newest = std::max(newest, attempt);
  if (gang) job.gang_attempt = newest;
  run.wanted = key.attempt == newest && job.runnable() && key.task.task < spec.tasks &&
               !job.done.contains(key.task.task);
  // A task is started again only once its earlier start is certainly gone: a report that still
  // shows that one is old, and must not stop the one that runs.
  for (const auto& [task, places] : job.at)
    if (gang || task == key.task.task)
      for (const auto& [machine, attempt] : places)
        if (attempt < newest) unwant_at(machine, {{key.task.job, task}, attempt}, now);
}

void LeaderCore::unwant_at(const std::string& machine, const RunKey& key, Seconds now) {
  const auto m = machines_.find(machine);
  if (m == machines_.end()) return;
  const auto run = m->second.runs.find(key);
  if (run != m->second.runs.end()) unwant(run->second, false, now);
}

void LeaderCore::take_in_task(Machine& m, const TaskReport& t, Seconds now) {
  const RunKey key{t.key, t.attempt};
  auto [it, added] = m.runs.try_emplace(key);
  Run& run = it->second;
  if (added) {
    run.placed_at = now;
    run.sent = true;
    run.wanted = false;
    if (Job* job = find_job(t.key.job)) adopt(m, key, run, *job, now);
  }
  if (t.state == TaskState::Exited) run.cause = t.cause;
  set_phase(m, key, run, phase_of(t.state), now);
}

void LeaderCore::set_phase(Machine& m, const RunKey& key, Run& run, Run::Phase next, Seconds now) {
  if (run.phase == next) return;
  spdlog::debug("{}/{} try {} on {}: phase {} -> {}", key.task.job, key.task.task, key.attempt,
                m.info.id, static_cast<int>(run.phase), static_cast<int>(next));
  run.phase = next;
  run.sent = true;
  if (next == Run::Phase::Running || next == Run::Phase::Waiting) {
    use_image(m, run.image, run.image_gb);
    if (run.running_since < 0) run.running_since = now;
  }
  if (next == Run::Phase::Exited) {
    drop_presence(m, key);
    settle_exit(m, key, run, now);
  }
}

void LeaderCore::settle_exit(Machine& m, const RunKey& key, Run& run, Seconds now) {
  if (run.settled) return;
  run.settled = true;
  run.wanted = false;
  Job* job = find_job(key.task.job);
  if (!job) return;
  if (run.cause == ExitCause::Done) {
    m.error_jobs.clear();
    job->failures = 0;
    if (job->spec().kind == JobKind::Service) return;
    const bool gang = job->spec().kind == JobKind::Gang;
    // The tasks of a gang complete together.
    for (uint32_t t = gang ? 0 : key.task.task; t < (gang ? job->spec().tasks : key.task.task + 1);
         ++t)
      if (t < job->spec().tasks && job->done.add(t) && job->progress_since < 0)
        job->progress_since = now;
    return;
  }
  spdlog::info("{}/{} try {} ended on {}: cause {}", key.task.job, key.task.task, key.attempt,
               m.info.id, static_cast<int>(run.cause));
  if (run.cause == ExitCause::Error || run.cause == ExitCause::Unknown) count_failure(m, *job, now);
  if (run.cause == ExitCause::NoRoom || run.cause == ExitCause::Busy)
    job->retry_at = now + settings_.report_s;
  stop_gang_of(key.task, now);
}

void LeaderCore::count_failure(Machine& m, Job& job, Seconds now) {
  job.failed_on.insert(m.info.id);
  ++job.failures;
  // One job that fails on several machines is at fault itself; several jobs that fail on one
  // machine put the blame on the machine.
  if (job.failed_on.size() >= 3) {
    const int doublings = std::min(job.failures / settings_.tuning.start_tries, 6);
    job.retry_at = now + settings_.report_s * (1 << doublings);
    if (job.failed_on.size() > 8) job.failed_on.clear();
  } else {
    m.error_jobs.insert(job.spec().id);
  }
  if (m.error_jobs.size() >= 2 && !m.sick) {
    m.sick = true;
    spdlog::info("{} fails what it starts: drained", m.info.id);
  }
}

void LeaderCore::add_presence(Machine& m, const RunKey& key) {
  if (Job* job = find_job(key.task.job)) job->at[key.task.task].insert({m.info.id, key.attempt});
}

void LeaderCore::drop_presence(Machine& m, const RunKey& key) {
  Job* job = find_job(key.task.job);
  if (!job) return;
  const auto it = job->at.find(key.task.task);
  if (it == job->at.end()) return;
  it->second.erase({m.info.id, key.attempt});
  if (it->second.empty()) job->at.erase(it);
  if (job->at.empty()) job->gang_attempt = 0;
}

void LeaderCore::remove_run(Machine& m, const RunKey& key) {
  const auto it = m.runs.find(key);
  if (it == m.runs.end()) return;
  if (it->second.present()) drop_presence(m, key);
  m.runs.erase(it);
}

void LeaderCore::remove_all_runs(Machine& m) {
  while (!m.runs.empty()) {
    const RunKey key = m.runs.begin()->first;
    const bool present = m.runs.begin()->second.present();
    remove_run(m, key);
    if (present) stop_gang_of(key.task, began_);
  }
}

void LeaderCore::unwant(Run& run, bool graceful, Seconds now) {
  if (!run.wanted && run.stop_since >= 0) {
    run.graceful = run.graceful && graceful;
    return;
  }
  run.wanted = false;
  run.graceful = graceful;
  run.stop_since = now;
}

void LeaderCore::stop_job(Job& job, bool graceful, Seconds now) {
  const auto places = job.at;
  for (const auto& [task, where] : places)
    for (const auto& [machine, attempt] : where) {
      const auto m = machines_.find(machine);
      if (m == machines_.end()) continue;
      const RunKey key{{job.spec().id, task}, attempt};
      const auto run = m->second.runs.find(key);
      if (run == m->second.runs.end()) continue;
      if (!run->second.sent)
        remove_run(m->second, key);  // never left this node
      else
        unwant(run->second, graceful, now);
    }
}

/// A gang that lost a member starts again whole: the rest is stopped.
void LeaderCore::stop_gang_of(const TaskKey& key, Seconds now) {
  Job* job = find_job(key.job);
  if (job && job->spec().kind == JobKind::Gang && job->spec().tasks > 1 && !job->complete())
    stop_job(*job, false, now);
}

// ---------------------------------------------------------------- commands

bool LeaderCore::startable(const Machine& m, const RunKey& key, const Run& run) const {
  if (!run.wanted || run.phase != Run::Phase::Ordered || !m.recorded) return false;
  const Job* job = find_job(key.task.job);
  return job && job->runnable() && job->covers(m.info.id);
}

/// Stops come first and are never cut: they take no more than their tasks did in the report.
std::vector<Command> LeaderCore::commands_for(Machine& m, bool forget) {
  std::vector<Command> out;
  for (auto& [key, run] : m.runs) {
    if (run.wanted || !run.present() || run.phase == Run::Phase::Ordered) continue;
    const Job* job = find_job(key.task.job);
    const bool save = run.graceful && job && job->spec().saves();
    if (save && run.phase == Run::Phase::Saving) continue;
    out.push_back({Verb::Stop, key.task, key.attempt, save ? job->spec().save_s * 1.5 + 1 : 0});
  }
  for (auto& [key, run] : m.runs) {
    if (out.size() >= kMostCommands) break;
    if (startable(m, key, run)) {
      run.sent = true;
      out.push_back({Verb::Start, key.task, key.attempt, 0});
    } else if (run.phase == Run::Phase::Exited) {
      const Job* job = find_job(key.task.job);
      const bool durable = run.cause != ExitCause::Done || !job ||
                           job->spec().kind == JobKind::Service ||
                           job->stored.done.contains(key.task.task);
      if (forget && durable) out.push_back({Verb::Forget, key.task, key.attempt, 0});
    }
  }
  return out;
}

bool LeaderCore::ended(const std::string& id) const {
  const Job* job = find_job(id);
  return !job || job->stored.state != JobState::Pending;
}

void LeaderCore::fenced(Seconds now) {
  if (fenced_ || now >= fence_) return;
  fenced_ = true;
  fence_ = now;
  spdlog::info("no earlier leader answers any more");
}

}  // namespace sumacquay
