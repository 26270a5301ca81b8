#include "fleet/machine.h"

namespace sumacquay {

std::string_view name(Run::Phase phase) {
  switch (phase) {
    case Run::Phase::Ordered:
      return "ordered";
    case Run::Phase::Fetching:
      return "fetching";
    case Run::Phase::Waiting:
      return "waiting";
    case Run::Phase::Running:
      return "running";
    case Run::Phase::Saving:
      return "saving";
    case Run::Phase::Exited:
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
