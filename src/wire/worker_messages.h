#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/report.h"

/// What workers and controllers say to one another. Workers report to a controller, and its answer
/// carries commands; the leader also sends commands of its own accord, as orders, which a worker
/// answers with a report. The node calls it.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kReport = "/hello";   ///< on a controller
inline constexpr const char* kOrders = "/orders";  ///< on a worker
}  // namespace path

/// Reads a report, or a worker's answer to orders; none if any part of it is invalid.
std::optional<WorkerReport> parse_report(std::string_view body);

/// Answers a report, which renews the worker's lease. `token` is the one in force for the worker:
/// it refuses commands that come with a lower one.
std::string report_answer(uint64_t token, const std::vector<Command>& commands);

/// Answers a report that came to a controller which doesn't lead; `node` is the leader's name,
/// empty where it isn't known.
std::string redirect_body(const std::string& node);

/// Orders for one session of a worker. Without commands they only probe it and show the token.
std::string orders_body(uint64_t token, uint64_t session, const std::vector<Command>& commands);

}  // namespace sumacquay::wire
