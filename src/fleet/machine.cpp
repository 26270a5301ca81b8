#include "fleet/machine.h"

namespace sumacquay {

std::string_view name(TaskAttemptState state) {
  switch (state) {
    case TaskAttemptState::Scheduled:
      return "ordered";
    case TaskAttemptState::Fetching:
      return "fetching";
    case TaskAttemptState::Waiting:
      return "waiting";
    case TaskAttemptState::Running:
      return "running";
    case TaskAttemptState::Checkpointing:
      return "saving";
    case TaskAttemptState::Exited:
      return "exited";
  }
  return "unknown";
}

std::string_view name(MachineState state) {
  switch (state) {
    case MachineState::Booting:
      return "booting";
    case MachineState::Up:
      return "up";
    case MachineState::LeaseExpired:
      return "expired";
    case MachineState::Releasing:
      return "returning";
  }
  return "unknown";
}

}  // namespace sumacquay
