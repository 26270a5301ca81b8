#pragma once
#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/image_cache.h"
#include "fleet/worker_heartbeat.h"
#include "jobs/record.h"

/// The leader's state of machines and of the task attempts on them. Data with simple questions; the
/// scheduler owns the machines and changes them. Times are steady, in seconds.
namespace sumacquay {

/// The time of something that has not happened: earlier than all others.
constexpr Seconds kNever = -std::numeric_limits<Seconds>::infinity();

/// One start of one task. Attempt numbers are never reused.
struct TaskAttemptId {
  TaskKey task;
  uint64_t attempt = 0;
  auto operator<=>(const TaskAttemptId&) const = default;
};

/// How far an attempt is, according to its worker's last heartbeat.
enum class TaskAttemptState { Scheduled, Fetching, Waiting, Running, Checkpointing, Exited };

/// A task that is on a machine, or may be: it is here until it is proven to be gone.
struct TaskAttempt {
  TaskAttemptState state = TaskAttemptState::Scheduled;
  ExitCause cause = ExitCause::None;
  bool desired_running = true;  ///< false: it is to be stopped
  bool start_sent = false;      ///< a start may have left for the worker
  bool graceful = false;        ///< when it is stopped, it may write a checkpoint first
  bool exit_recorded = false;   ///< its exit has been taken into account
  Seconds placed_at = 0;
  std::optional<Seconds> running_since;
  std::optional<Seconds> stop_since;
  bool stop_sent = false;
  Resources request;
  std::string image;
  double image_gb = 0;

  bool possibly_present() const { return state != TaskAttemptState::Exited; }
};

/// The states of a machine, in the order in which they follow one another.
enum class MachineState {
  Booting,       ///< requested from the cloud; no heartbeat yet
  Up,            ///< sends heartbeats
  LeaseExpired,  ///< its worker's lease has certainly ended: nothing runs there
  Releasing,     ///< scaled in: the cloud was asked to terminate it
};

/// How far a machine's record in the key-value store is. Nothing is started on a machine before its
/// record is durable.
enum class HostRecordState { None, Requested, Durable };

/// A machine and everything that the leader knows of it.
struct Machine {
  HostRecord info;
  MachineState state = MachineState::Booting;
  HostRecordState record = HostRecordState::None;

  HeartbeatSequence latest;      ///< of all heartbeats that were applied
  HeartbeatSequence latest_own;  ///< of those that the worker sent by itself
  uint64_t counter = 0;          ///< low part of the fencing token in force at this worker
  bool fencing_token_acknowledged = false;  ///< its heartbeats carry the fencing token in force
  bool reconciled = false;      ///< since the failover: it said what runs there, or nothing can
  Seconds last_heard = kNever;  ///< when any heartbeat came, also one that answers a command
  /// When a heartbeat came that the worker sent by itself. Answers to commands do not count: they
  /// do not show that its lease was renewed.
  Seconds last_heartbeat = kNever;
  Seconds partition_healed_at = kNever;  ///< when its zone was reachable again
  Seconds last_lease_renewal = kNever;   ///< when the last answer that may renew its lease was sent
  /// The previous leader may have renewed its lease until that leader was fenced.
  bool previous_leader_may_answer = true;
  bool commands_in_flight = false;
  Seconds next_commands_at = 0, next_greeting_probe_at = 0;
  bool probe_in_flight = false;   ///< a probe of whether it is there is on its way
  bool probe_unanswered = false;  ///< the last probe got no answer

  Seconds first_seen = 0;
  std::optional<Seconds> up_since;    ///< only if it booted under this leader
  bool listed_failed = false;         ///< the cloud lists it as failed
  std::optional<Seconds> reclaim_at;  ///< spot instance: when the cloud takes it back
  std::optional<Seconds> idle_since;
  /// Tasks fail there: it gets no new ones, and is scaled in once the fault is certainly its own.
  std::optional<Seconds> quarantined_since;
  bool quarantined() const { return quarantined_since.has_value(); }
  bool failed_jobs_succeed_elsewhere = false;  ///< a job that failed here has succeeded elsewhere
  std::set<std::string> failed_jobs;           ///< jobs that failed here since one last succeeded
  ImageCache images;
  bool draining = false;  ///< its tasks are moved elsewhere, and it gets no new ones

  std::map<TaskAttemptId, TaskAttempt> attempts;

  /// Has the record written, which must be durable before anything is started here.
  void request_host_record() {
    if (record == HostRecordState::None) record = HostRecordState::Requested;
  }
  /// Until it is reconciled that may be so although no attempt is known.
  bool may_run_tasks() const { return !reconciled || has_possible_attempts(); }
  bool has_possible_attempts() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const auto& entry) { return entry.second.possibly_present(); });
  }
};

/// The names that log lines show.
std::string_view name(TaskAttemptState state);
std::string_view name(MachineState state);

}  // namespace sumacquay
