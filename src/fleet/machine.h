#pragma once
#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "jobs/record.h"

namespace sumacquay {

/// The time of something that has not happened: earlier than all others.
constexpr Seconds kNever = -std::numeric_limits<Seconds>::infinity();

/// One start of one task.
struct TaskAttemptId {
  TaskKey task;
  uint64_t attempt = 0;
  auto operator<=>(const TaskAttemptId&) const = default;
};

/// How far an attempt is, as its worker last said.
enum class TaskAttemptState { Scheduled, Fetching, Waiting, Running, Checkpointing, Exited };

/// A task that is on a machine, or may be: it is here until it is proven to be gone.
struct TaskAttempt {
  TaskAttemptState state = TaskAttemptState::Scheduled;
  ExitCause cause = ExitCause::None;
  bool desired_running = true;  ///< false: it is to stop
  bool start_sent = false;      ///< a start may have left for the worker
  bool graceful = false;        ///< stop: lets it save first
  bool exit_recorded = false;   ///< exit: has been taken into account
  Seconds placed_at = 0;
  std::optional<Seconds> running_since;
  std::optional<Seconds> stop_since;
  bool stop_sent = false;
  Resources request;
  std::string image;
  double image_gb = 0;

  bool possibly_present() const { return state != TaskAttemptState::Exited; }
};

/// An image on a machine.
struct CachedImage {
  std::string image;
  double gb = 0;
};

/// The images a machine has as far as can be told: it reports none, but keeps the most recently
/// used ones that fit its disk.
class ImageCache {
 public:
  void use(const std::string& image, double gb, double room_gb) {
    std::erase_if(kept_, [&](const CachedImage& i) { return i.image == image; });
    kept_.push_back({image, gb});
    double sum = 0;
    for (const CachedImage& i : kept_) sum += i.gb;
    while (kept_.size() > 1 && sum > room_gb) {
      sum -= kept_.front().gb;
      kept_.erase(kept_.begin());
    }
  }
  bool has(const std::string& image) const {
    return std::any_of(kept_.begin(), kept_.end(),
                       [&](const CachedImage& i) { return i.image == image; });
  }
  const std::vector<CachedImage>& kept() const { return kept_; }

 private:
  std::vector<CachedImage> kept_;  ///< the most recently used last
};

/// How far a machine is in its life.
enum class MachineState {
  Booting,       ///< rented, not heard yet
  Up,            ///< reports
  LeaseExpired,  ///< its worker's lease has certainly ended: nothing runs there
  Releasing,     ///< the cloud was asked to take it back
};

/// Its record in the state service. Nothing is started on a machine before its record is durable.
enum class HostRecordState { None, Requested, Durable };

/// A machine as the leader knows it.
struct Machine {
  HostRecord info;
  MachineState state = MachineState::Booting;
  HostRecordState record = HostRecordState::None;

  HeartbeatSequence latest;      ///< of all heartbeats that were applied
  HeartbeatSequence latest_own;  ///< of those that the worker sent by itself
  uint64_t counter = 0;          ///< low part of the fencing token in force at this worker
  bool fencing_token_acknowledged = false;  ///< has shown the fencing token in force
  bool reconciled = false;  ///< since the takeover: told what it has, or certainly has nothing
  Seconds last_heard = kNever;
  /// When a heartbeat of its own came; answers to commands don't count, and show no lease renewed.
  Seconds last_heartbeat = kNever;
  Seconds partition_healed_at = kNever;  ///< when its zone was heard again
  Seconds last_lease_renewal = kNever;   ///< last answer that may renew
  /// An earlier leader may have answered it until the fence.
  bool previous_leader_may_answer = true;
  bool commands_in_flight = false;
  Seconds next_commands_at = 0, next_greeting_probe_at = 0;
  bool probe_in_flight = false;   ///< asked whether it is there
  bool probe_unanswered = false;  ///< it has not answered that

  Seconds first_seen = 0;
  std::optional<Seconds> up_since;  ///< if this leader saw it boot
  bool listed_failed = false;
  std::optional<Seconds> reclaim_at;  ///< spot notice: when the cloud takes it
  std::optional<Seconds> idle_since;
  /// Fails what it starts: gets nothing new, and is returned once that is certain.
  std::optional<Seconds> quarantined_since;
  bool quarantined() const { return quarantined_since.has_value(); }
  bool failed_jobs_succeed_elsewhere = false;  ///< a job that failed here has succeeded elsewhere
  std::set<std::string> failed_jobs;           ///< jobs that failed here since one last succeeded
  ImageCache images;
  bool draining = false;  ///< its tasks are moved elsewhere: gets nothing new

  std::map<TaskAttemptId, TaskAttempt> attempts;

  /// Something is to be started here.
  void request_host_record() {
    if (record == HostRecordState::None) record = HostRecordState::Requested;
  }
  /// Since a takeover that may be so although none is known.
  bool may_run_tasks() const { return !reconciled || has_possible_attempts(); }
  bool has_possible_attempts() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const auto& r) { return r.second.possibly_present(); });
  }
};

/// For logs.
std::string_view name(TaskAttemptState state);
std::string_view name(MachineState stage);

}  // namespace sumacquay
