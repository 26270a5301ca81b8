#include "simulation/body_limit.h"

#include <cstddef>
#include <string>

#include "simulators/messages.h"
#include "wire/json_size.h"
#include "wire/view.h"
#include "wire/worker_messages.h"

namespace sumacquay::simulation {

namespace {
constexpr size_t kBodyLimitBytes = size_t{64} * 1024;
/// No entry of a list of tasks or commands takes more: names have at most 200 bytes, each of which
/// takes up to six as an escape. Shorter lists need no encoding to be known to fit.
constexpr size_t kMaxEntryBytes = 1400;

bool surely_fits(size_t entries) {
  return (entries + 1) * kMaxEntryBytes <= kBodyLimitBytes;
}

bool exceeds_limit(const std::string& body) {
  return wire::json_size(wire::Document::parse(body)->root()) > kBodyLimitBytes;
}
}  // namespace

bool exceeds_body_limit(const WorkerHeartbeat& heartbeat) {
  return !surely_fits(heartbeat.tasks.size()) &&
         exceeds_limit(simulators::worker_heartbeat_body(heartbeat));
}

bool answer_exceeds_body_limit(uint64_t fencing_token, const std::vector<Command>& commands) {
  return !surely_fits(commands.size()) &&
         exceeds_limit(wire::heartbeat_response_body(fencing_token, commands));
}

bool request_exceeds_body_limit(uint64_t fencing_token, uint64_t agent_epoch,
                                const std::vector<Command>& commands) {
  return !surely_fits(commands.size()) &&
         exceeds_limit(wire::worker_commands_body(fencing_token, agent_epoch, commands));
}

}  // namespace sumacquay::simulation
