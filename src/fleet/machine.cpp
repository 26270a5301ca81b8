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

std::string_view name(Machine::Stage stage) {
  switch (stage) {
    case Machine::Stage::Booting:
      return "booting";
    case Machine::Stage::Up:
      return "up";
    case Machine::Stage::Expired:
      return "expired";
    case Machine::Stage::Returning:
      return "returning";
  }
  return "unknown";
}

}  // namespace sumacquay
