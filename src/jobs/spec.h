#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Job specifications, resource amounts and machine types, as plain values without I/O. src/wire
/// defines their encoding.
namespace sumacquay {

using Seconds = double;  ///< a point in steady time, or a duration

enum class JobKind { Array, Gang, Service };
enum class Priority { Low, Normal, High, Production };
/// State of a job as stored; "running" is derived for answers to users.
enum class JobState { Pending, Cancelled, Done };

/// Amounts of CPUs, GPUs and memory, and of space in the heartbeat of a machine's worker.
struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;
  /// Bytes of the worker's heartbeat, which lists every task of the machine and has a size limit.
  /// The scheduler adds them; job specifications and the cloud's catalog have none.
  double heartbeat_bytes = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    heartbeat_bytes += other.heartbeat_bytes;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    heartbeat_bytes -= other.heartbeat_bytes;
    return *this;
  }
  Resources times(double factor) const {
    return {cpus * factor, gpus * factor, memory_gb * factor, heartbeat_bytes * factor};
  }
  /// Tolerates rounding errors in sums of floating-point amounts.
  bool fits_in(const Resources& capacity) const {
    constexpr double kRoundingTolerance = 1e-6;
    return cpus <= capacity.cpus + kRoundingTolerance &&
           gpus <= capacity.gpus + kRoundingTolerance &&
           memory_gb <= capacity.memory_gb + kRoundingTolerance &&
           heartbeat_bytes <= capacity.heartbeat_bytes + kRoundingTolerance;
  }
  bool operator==(const Resources&) const = default;
  /// The largest fraction of the capacity's CPUs, GPUs or memory that this takes.
  double dominant_share(const Resources& capacity) const {
    return std::max({share(cpus, capacity.cpus), share(gpus, capacity.gpus),
                     share(memory_gb, capacity.memory_gb)});
  }
  /// The fraction of the capacity's space in the heartbeat that this takes.
  double heartbeat_share(const Resources& capacity) const {
    return share(heartbeat_bytes, capacity.heartbeat_bytes);
  }

 private:
  static double share(double amount, double total) { return total > 0 ? amount / total : 0; }
};

/// Specification of a job as submitted; immutable.
struct JobSpec {
  std::string id, job_class, team, image;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  uint32_t tasks = 1;
  Resources request;  ///< resources of one task
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  ///< allowed machine types; none: any
  std::optional<std::string> zone;                ///< required zone; none: any
  bool one_zone = false;                          ///< all tasks must be in the same zone
  bool spread = false;                            ///< at most half of the tasks in any one zone
  bool spot = false;                              ///< may use spot instances
  double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
  /// Jobs that must be done before any task of this one starts, without duplicates.
  std::vector<std::string> dependencies;

  bool operator==(const JobSpec&) const = default;
  /// Whether tasks may run on machines of this type.
  bool allows_type(const std::string& type) const;
  /// Maximum number of tasks in one zone.
  uint32_t zone_limit() const { return spread ? (tasks + 1) / 2 : tasks; }
  /// Whether the placement of a task depends on the zones of the job's other tasks.
  bool has_zone_constraint() const { return one_zone || spread; }
  /// Whether its tasks start only together.
  bool is_multi_task_gang() const { return kind == JobKind::Gang && tasks > 1; }
  /// Whether its tasks write checkpoints.
  bool checkpoints() const { return checkpoint_interval_s > 0; }
};

/// A machine type as listed by the cloud. Both prices are for the same unit of time.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0, fetch_gb_per_s = 1;
  double price = 0, spot_price = 0, boot_s = 60;
  std::vector<std::string> zones;
  bool operator==(const MachineType&) const = default;
};

/// Reason why a well-formed job can never run, as an error text for the user; empty if it can run.
/// `team` is null if the settings have no team of that name.
std::string unschedulable_reason(const JobSpec& spec, const std::vector<MachineType>& types,
                                 const struct TeamSettings* team);

}  // namespace sumacquay
