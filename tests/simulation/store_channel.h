#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "simulation/environment.h"
#include "simulation/simulated_store.h"

namespace sumacquay::simulation {

enum class StoreOutcome {
  Ok,
  Failed,    ///< a precondition failed, a lease has expired, or the key does not exist
  Rejected,  ///< the store did not serve the request
  Unknown,   ///< the request timed out
};

struct StoreReply {
  StoreOutcome outcome = StoreOutcome::Unknown;
  uint64_t revision = 0;
  uint64_t lease = 0;
  std::vector<SimulatedStore::Change> changes;

  bool ok() const { return outcome == StoreOutcome::Ok; }
};

/// The term under which a leader writes, and the nonce of its process.
struct WriterTerm {
  uint64_t term = 0, nonce = 0;
};

/// Connects the controllers to the key-value store and injects faults: delays, rejections, outages,
/// writes that are applied late and answers that are lost.
class StoreChannel {
 public:
  using Operation = std::function<StoreReply()>;
  using Done = std::function<void(ControllerProcess&, const StoreReply&)>;
  /// Only transactions are applied late or lose their answers.
  enum class RequestKind { Transaction, Other };

  explicit StoreChannel(Environment& environment) : env_(environment) {}

  /// Sends a request of the controller's current process. Without `timeout`, the default applies.
  void request(size_t controller, RequestKind kind, Operation operation, Done done,
               std::optional<Seconds> timeout = std::nullopt);

  Operation transaction(std::vector<wire::Precondition> preconditions,
                        std::vector<SimulatedStore::Change> changes,
                        std::optional<WriterTerm> writer = std::nullopt);
  /// Reads all items, or only the changes after a revision.
  Operation read(std::optional<uint64_t> after);
  /// Reads the item of one key; fails if there is none.
  Operation read_item(const std::string& key);
  Operation grant_lease(Seconds duration);
  Operation renew_lease(uint64_t lease);
  Operation revoke_lease(uint64_t lease);

  /// Ends an outage whose time is over and expires leases.
  void step();

  void begin_outage(Seconds span);
  void slow_down(Seconds span);
  void apply_writes_late(double fraction, Seconds span);
  void lose_answers(double fraction, Seconds span);
  void end_faults();

  size_t late_writes_applied() const { return late_writes_applied_; }
  size_t late_writes_attempted() const { return late_writes_attempted_; }
  size_t answers_lost() const { return answers_lost_; }

 private:
  struct Request {
    size_t controller = 0;
    RequestKind kind = RequestKind::Other;
    Operation operation;
    std::function<void(Seconds delay, StoreReply)> answer;
  };
  bool outage_active() const { return outage_end_ && env_.now() < *outage_end_; }
  void arrive(const Request& request);
  void apply_late(Operation operation);

  Environment& env_;
  SimulatedStore service_;
  std::optional<Seconds> outage_end_;
  Fault slowness_, late_writes_, answer_loss_;
  double late_write_fraction_ = 0, answer_loss_fraction_ = 0;
  size_t late_writes_applied_ = 0, late_writes_attempted_ = 0, answers_lost_ = 0;
};

}  // namespace sumacquay::simulation
