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

/// The leader's state of machines and of the task attempts on them. Plain data with simple
/// accessors; the scheduler owns and modifies it. Times are steady, in seconds.
namespace sumacquay {

/// Timestamp of an event that has not happened; earlier than any other timestamp.
constexpr Seconds kNever = -std::numeric_limits<Seconds>::infinity();

/// State of an attempt according to its worker's last heartbeat; Scheduled until it is listed
/// there.
enum class TaskAttemptState { Scheduled, Fetching, Waiting, Running, Checkpointing, Exited };

/// A task attempt that is, or may be, on a machine. It is kept until it is certain to be gone.
struct TaskAttempt {
  TaskAttemptState state = TaskAttemptState::Scheduled;
  ExitCause cause = ExitCause::None;
  bool desired_running = true;  ///< false: the attempt must be stopped
  bool start_sent = false;      ///< a start command may have been sent to the worker
  bool start_held = false;      ///< the start waits for image fetches of other tasks of the gang
  bool graceful = false;        ///< the attempt may write a checkpoint before it is stopped
  bool exit_recorded = false;   ///< the exit has been processed
  Seconds placed_at = 0;
  std::optional<Seconds> running_since;
  std::optional<Seconds> stop_since;
  bool stop_sent = false;
  bool discard_sent = false;  ///< sent in a request; answers to heartbeats repeat it
  Resources request;
  double heartbeat_bytes = 0;  ///< upper bound on its space in the worker's heartbeat
  std::string image;
  double image_gb = 0;

  bool may_be_present() const { return state != TaskAttemptState::Exited; }
  /// What the attempt takes of its machine. Once it has exited, only its space in the heartbeat,
  /// until the worker discards it.
  Resources occupied() const {
    Resources occupied = may_be_present() ? request : Resources{};
    occupied.heartbeat_bytes = heartbeat_bytes;
    return occupied;
  }
  /// Whether the task is not known to have its image yet.
  bool before_image() const {
    return state == TaskAttemptState::Scheduled || state == TaskAttemptState::Fetching;
  }
  /// Whether the worker fetches the task's image, and is to go on with that.
  bool fetching_image() const { return state == TaskAttemptState::Fetching && desired_running; }
};

/// States of a machine in the usual order of its life cycle.
enum class MachineState {
  Booting,       ///< requested from the cloud; no heartbeat received yet
  Up,            ///< sends heartbeats
  LeaseExpired,  ///< the worker's lease has certainly expired, so no task runs there
  Releasing,     ///< scale-in: the cloud was asked to terminate the machine
};

/// State of a machine's record in the key-value store. No task is started on a machine before its
/// record is durable.
enum class HostRecordState { None, Requested, Durable };

/// The leader's state of one machine.
struct Machine {
  HostRecord host;
  MachineState state = MachineState::Booting;
  HostRecordState host_record_state = HostRecordState::None;

  /// Newest applied heartbeat, including responses to commands.
  HeartbeatSequence latest_sequence;
  HeartbeatSequence latest_heartbeat_sequence;  ///< newest worker-initiated heartbeat
  uint64_t fencing_token_counter = 0;           ///< low bits of the worker's current fencing token
  /// The lowest counter of a fencing token that rejects all commands without an answer.
  uint64_t required_token_counter = 0;
  /// Its heartbeats carry at least the required fencing token.
  bool fencing_token_acknowledged = false;
  /// A request under the current fencing token has started a task, so copies of the request are
  /// valid until the worker sees a higher token.
  bool token_used_for_starts = false;
  /// Since the failover, the worker has reported its tasks, or it can have none.
  bool reconciled = false;
  /// Time of the last applied heartbeat, including responses to commands and probes.
  Seconds last_seen_at = kNever;
  /// Time of the last worker-initiated heartbeat. Responses to commands and probes do not count,
  /// because they do not show that the worker's lease was renewed.
  Seconds last_heartbeat_at = kNever;
  Seconds partition_healed_at = kNever;  ///< when the last partition of its zone ended
  /// When the last response that may renew the worker's lease was sent.
  Seconds last_lease_renewal_at = kNever;
  /// The previous leader may have renewed the worker's lease up to the time that leader was fenced.
  bool previous_leader_may_renew = true;
  /// No controller accepts its heartbeats, which are too large, so that requests have to carry what
  /// answers to heartbeats do otherwise.
  bool heartbeat_too_large = false;
  bool commands_in_flight = false;
  Seconds next_commands_at = 0, next_token_probe_at = 0;
  bool probe_in_flight = false;   ///< a liveness probe is in flight
  bool probe_unanswered = false;  ///< the last probe got no response

  Seconds first_seen = 0;
  std::optional<Seconds> up_since;    ///< set only if it finished booting under this leader
  bool listed_failed = false;         ///< the cloud lists it as failed
  std::optional<Seconds> reclaim_at;  ///< when the cloud reclaims the spot instance
  std::optional<Seconds> idle_since;
  /// Set while the machine is quarantined because tasks fail on it. It gets no new tasks and is
  /// released once the failures are confirmed to be the machine's fault.
  std::optional<Seconds> quarantined_since;
  bool quarantined() const { return quarantined_since.has_value(); }
  bool failed_job_succeeded_elsewhere = false;  ///< a job that failed here succeeded elsewhere
  std::set<std::string> failed_jobs;  ///< jobs that failed here since any job last succeeded here
  ImageCache images;
  bool draining = false;  ///< its tasks are moved to other machines, and it gets no new ones

  std::map<TaskAttemptId, TaskAttempt> attempts;

  /// Requests a write of the host record, which must be durable before any task is started here.
  void request_host_record() {
    if (host_record_state == HostRecordState::None) host_record_state = HostRecordState::Requested;
  }
  /// True until the machine is reconciled, even if it has no known attempts.
  bool may_run_tasks() const { return !reconciled || may_have_attempts(); }
  bool may_have_attempts() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const auto& entry) { return entry.second.may_be_present(); });
  }
};

/// Names for log lines.
std::string_view name(TaskAttemptState state);
std::string_view name(MachineState state);

}  // namespace sumacquay
