#pragma once
#include <string>

#include "simulation/cloud.h"
#include "simulation/controllers.h"
#include "simulation/environment.h"
#include "simulation/store_channel.h"
#include "simulation/workers.h"

namespace sumacquay::simulation {

/// Fault injection for tests. Most faults last for the given span of time.
class Faults {
 public:
  Faults(Environment& environment, Controllers& controllers, StoreChannel& store, Cloud& cloud,
         Workers& workers)
      : env_(environment),
        controllers_(controllers),
        store_(store),
        cloud_(cloud),
        workers_(workers) {}

  // Controllers.
  void restart_controller(size_t controller, Seconds restart_delay);
  void pause_controller(size_t controller, Seconds span);
  void partition_from_store(size_t controller, Seconds span);
  void partition_from_peers(size_t controller, Seconds span);
  void partition_from_workers(size_t controller, Seconds span);
  /// The key-value store rejects the requests of this controller only.
  void reject_store_requests(size_t controller, Seconds span);

  // The key-value store.
  void store_outage(Seconds span) { store_.begin_outage(span); }
  void slow_store(Seconds span) { store_.slow_down(span); }
  void delay_store_writes(double fraction, Seconds span) {
    store_.apply_writes_late(fraction, span);
  }
  void lose_store_answers(double fraction, Seconds span) { store_.lose_answers(fraction, span); }

  // The network and the cloud.
  void partition_zone(const std::string& zone, Seconds span) {
    env_.network.partition_zone(zone, span);
  }
  /// Releases are executed late and never answered.
  void delay_releases(Seconds span) { cloud_.delay_releases(span); }

  // Machines.
  void hang_machine(const std::string& machine, Seconds span);
  void partition_machine(const std::string& machine, Seconds span);
  void drop_inbound_messages(const std::string& machine, Seconds span);
  void drop_heartbeats(const std::string& machine, Seconds span);
  /// Commands to the machine are delayed until the fault ends, or their answers are lost.
  void delay_commands(const std::string& machine, Seconds span);
  /// All tasks on the machine fail from now on.
  void fail_all_tasks(const std::string& machine);
  void lose_machine(const std::string& machine) { env_.fleet.remove(machine); }
  /// Starts the first `count` tasks of the job that are neither done nor on a machine on this one,
  /// as leaders of earlier versions did, which did not limit the size of heartbeats. The job's
  /// record has to name the machine, and no controller may lead.
  void overfill_machine(const std::string& machine, const std::string& job, size_t count);
  /// A fraction of the heartbeats is delivered a second time, late.
  void duplicate_heartbeats(double fraction, Seconds span,
                            DuplicateDelivery delivery = DuplicateDelivery::AfterDelay);
  /// Half of the heartbeats are delayed, so that commands, their answers and probes overtake them.
  void delay_heartbeats(Seconds span) { workers_.delay_heartbeats(span); }

  /// Ends all faults, except that lost machines stay lost and failing machines keep failing tasks.
  void end_all();

 private:
  void inject(Fault ControllerFaults::*fault, size_t controller, Seconds span);
  void inject(Fault MachineFaults::*fault, const std::string& machine, Seconds span);

  Environment& env_;
  Controllers& controllers_;
  StoreChannel& store_;
  Cloud& cloud_;
  Workers& workers_;
};

}  // namespace sumacquay::simulation
