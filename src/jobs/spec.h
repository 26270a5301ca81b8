#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What users ask for: jobs, their resources, and the machine types that they may run on. Values
/// without I/O; src/wire knows their encoding.
namespace sumacquay {

using Seconds = double;  ///< steady time, or a span of it

enum class JobKind { Array, Gang, Service };
enum class Priority { Low, Normal, High, Production };
enum class JobState { Pending, Cancelled, Done };  ///< as recorded; "running" is only displayed

/// An amount of each resource: CPUs, GPUs and GB of memory.
struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  Resources times(double factor) const {
    return {cpus * factor, gpus * factor, memory_gb * factor};
  }
  /// Sums of decimals are not exact, so an excess within rounding is no reason to refuse.
  bool fits_in(const Resources& capacity) const {
    constexpr double kSlack = 1e-6;
    return cpus <= capacity.cpus + kSlack && gpus <= capacity.gpus + kSlack &&
           memory_gb <= capacity.memory_gb + kSlack;
  }
  bool operator==(const Resources&) const = default;
};

/// A job as it was submitted. It never changes.
struct JobSpec {
  std::string id, job_class, team, image;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  uint32_t tasks = 1;
  Resources request;  ///< of one task
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  ///< machine types; none: any
  std::optional<std::string> zone;                ///< the only zone that will do; none: any
  bool one_zone = false;                          ///< all tasks in the same zone
  bool spread = false;                            ///< at most half of the tasks in any one zone
  bool spot = false;                              ///< may use spot instances
  double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
  /// Jobs that have to be done before a task of this one starts; each once.
  std::vector<std::string> dependencies;

  bool operator==(const JobSpec&) const = default;
  /// Whether tasks may run on machines of this type.
  bool allows_type(const std::string& type) const;
  /// The most tasks that may be in one zone.
  uint32_t zone_limit() const { return spread ? (tasks + 1) / 2 : tasks; }
  /// Whether it matters in which zones its other tasks are.
  bool counts_zones() const { return one_zone || spread; }
  /// Whether its tasks save their progress.
  bool checkpoints() const { return checkpoint_interval_s > 0; }
};

/// A type of machine as the cloud lists it. Prices are for the same span of time.
struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0, fetch_gb_per_s = 1;
  double price = 0, spot_price = 0, boot_s = 60;
  std::vector<std::string> zones;
  bool operator==(const MachineType&) const = default;
};

/// Why a well-formed job can never run, as the text that its user is shown; empty: it can. `team`
/// is null if the settings have no team of that name.
std::string never_runs(const JobSpec& spec, const std::vector<MachineType>& types,
                       const struct TeamSettings* team);

}  // namespace sumacquay
