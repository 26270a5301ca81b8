#pragma once
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fleet/report.h"

namespace sumacquay {

struct SendOrders {
  std::string machine, addr;
  uint64_t token = 0, session = 0;
  std::vector<Command> commands;
};
/// An order without commands: shows the worker the token and brings its report. Whenever it is
/// carried out, it does no harm.
struct Probe {
  std::string machine, addr;
  uint64_t token = 0, session = 0;
};
struct Rent {
  std::string request, type, zone;
  bool spot = false;
  int count = 0;
};
/// What the cloud answered to a request for machines; unknown if no answer came.
enum class RentOutcome { Rented, Refused, Unknown };

struct Release {
  std::vector<std::string> machines;
};
using Action = std::variant<SendOrders, Probe, Rent, Release>;

}  // namespace sumacquay
