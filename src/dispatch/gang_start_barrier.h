#pragma once
#include "dispatch/cluster_state.h"
#include "dispatch/command_dispatcher.h"

namespace sumacquay {

/// Holds back the starts of a gang's tasks that would wait for longer than `gang_wait_s` for the
/// image fetches of the others, and exit before the gang can run. Their machines stay taken
/// meanwhile. Tasks that have to fetch the image themselves are never held back.
///
/// The leader infers which machines have an image and how long a fetch takes, so a gang may still
/// turn out incomplete; then it is restarted (`AttemptTracker::restart_gang_of`).
class GangStartBarrier {
 public:
  GangStartBarrier(ClusterState& state, CommandDispatcher& commands)
      : state_(state), commands_(commands) {}

  /// Decides which starts are held back after tasks of the job have been placed. Does nothing for
  /// jobs other than gangs.
  void on_tasks_placed(Job& job);
  /// Releases the starts that were held back if no other task of the job lacks its image any more.
  void on_image_present(Job& job);

 private:
  void update(Job& job);
  bool awaits_image(const Job& job) const;
  bool fetch_may_outlast_gang_wait(const JobSpec& spec, const Machine& machine) const;

  ClusterState& state_;
  CommandDispatcher& commands_;
};

}  // namespace sumacquay
