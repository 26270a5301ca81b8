#pragma once
#include <set>
#include <string>

namespace sumacquay {

/// Keeps account of the writes of machines' records: these have no version to guard them, so of
/// each record one write at a time is under way. A deletion is wanted until it has been carried
/// out.
class HostRecordWrites {
 public:
  /// Before a write of the machine's record is sent. False if one is under way already.
  bool begin(const std::string& machine) { return in_flight_.insert(machine).second; }
  /// The answer to a write has come, or none will.
  void end(const std::string& machine) { in_flight_.erase(machine); }

  void request_deletion(const std::string& machine) { to_delete_.insert(machine); }
  void deleted(const std::string& machine) { to_delete_.erase(machine); }
  const std::set<std::string>& to_delete() const { return to_delete_; }

 private:
  std::set<std::string> in_flight_;
  std::set<std::string> to_delete_;
};

}  // namespace sumacquay
