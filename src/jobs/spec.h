#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sumacquay {

using Seconds = double;  ///< steady time, or a span of it

enum class JobKind { Array, Gang, Service };
enum class Priority { Low, Normal, High, Production };
enum class JobState { Pending, Cancelled, Done };  ///< as recorded; "running" is only displayed

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  Resources& operator+=(const Resources& o) {
    cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
    return *this;
  }
  Resources times(double n) const { return {cpus * n, gpus * n, memory_gb * n}; }
  /// Sums of decimals are not exact: a thousandth of a CPU is not worth a refusal.
  bool fits_in(const Resources& capacity) const {
    constexpr double kSlack = 1e-6;
    return cpus <= capacity.cpus + kSlack && gpus <= capacity.gpus + kSlack &&
           memory_gb <= capacity.memory_gb + kSlack;
  }
  bool operator==(const Resources&) const = default;
};

struct JobSpec {
  std::string id, job_class, team, image;
  JobKind kind = JobKind::Array;
  Priority priority = Priority::Normal;
  uint32_t tasks = 1;
  Resources request;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
  /// Jobs that have to be done before a task of this one starts; each once.
  std::vector<std::string> dependencies;

  bool operator==(const JobSpec&) const = default;
  bool allows_type(const std::string& type) const;
  uint32_t zone_limit() const { return spread ? (tasks + 1) / 2 : tasks; }
  /// Whether it matters in which zones its other tasks are.
  bool counts_zones() const { return one_zone || spread; }
  bool checkpoints() const { return checkpoint_interval_s > 0; }
};

struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0, fetch_gb_per_s = 1;
  double price = 0, spot_price = 0, boot_s = 60;
  std::vector<std::string> zones;
  bool operator==(const MachineType&) const = default;
};

/// Why a well-formed job can never run; empty: it can.
std::string never_runs(const JobSpec& spec, const std::vector<MachineType>& types,
                       const struct TeamSettings* team);

}  // namespace sumacquay
