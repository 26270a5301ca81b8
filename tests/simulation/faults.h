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
  void end_process(size_t controller, Seconds restart_delay);
  void stand_still(size_t controller, Seconds span);
  void cut_from_state(size_t controller, Seconds span);
  void cut_from_peers(size_t controller, Seconds span);
  void cut_from_workers(size_t controller, Seconds span);
  /// The key-value store refuses the requests of this controller only.
  void refuse(size_t controller, Seconds span);

  // The key-value store.
  void outage(Seconds span) { store_.begin_outage(span); }
  void slow(Seconds span) { store_.slow_down(span); }
  void late_writes(double fraction, Seconds span) { store_.apply_writes_late(fraction, span); }
  void lost_answers(double fraction, Seconds span) { store_.lose_answers(fraction, span); }

  // The network and the cloud.
  void cut_zone(const std::string& zone, Seconds span) { env_.network.partition_zone(zone, span); }
  /// Releases are executed late and never answered.
  void late_releases(Seconds span) { cloud_.delay_releases(span); }

  // Machines.
  void hang(const std::string& machine, Seconds span);
  void cut(const std::string& machine, Seconds span);
  void deafen(const std::string& machine, Seconds span);
  void mute(const std::string& machine, Seconds span);
  /// Commands to the machine are held up until the fault ends, or their answers are lost.
  void hold_commands(const std::string& machine, Seconds span);
  /// All tasks on the machine fail from now on.
  void fail_all_tasks(const std::string& machine);
  void lose_machine(const std::string& machine) { env_.fleet.remove(machine); }
  /// A fraction of the heartbeats is delivered a second time, late.
  void late_heartbeats(double fraction, Seconds span,
                       CopyDelivery delivery = CopyDelivery::AfterDelay);
  /// Half of the heartbeats are delayed, so that commands, their answers and probes overtake them.
  void slow_heartbeats(Seconds span) { workers_.delay_heartbeats(span); }

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
