#pragma once
#include <cstddef>
#include <utility>
#include <vector>

#include "fleet/worker_heartbeat.h"
#include "wire/worker_message_size.h"

namespace sumacquay {

/// The commands of one message to a worker, limited in size by the protocol.
class CommandMessage {
 public:
  /// Adds the command if the message has space for it; returns whether it has.
  bool add(Command command) {
    const size_t bytes = wire::command_size_bound(command);
    if (bytes_ + bytes > wire::kMaxListBytes) return false;
    bytes_ += bytes;
    commands_.push_back(std::move(command));
    return true;
  }
  const std::vector<Command>& commands() const { return commands_; }
  std::vector<Command> release() { return std::move(commands_); }

 private:
  std::vector<Command> commands_;
  size_t bytes_ = 0;
};

}  // namespace sumacquay
