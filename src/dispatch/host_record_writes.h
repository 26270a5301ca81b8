#pragma once
#include <set>
#include <string>

namespace sumacquay {

/// Tracks the writes of machine records that are in flight and the deletions that are pending.
/// Machine records have no version that could guard a write, so at most one write of each record is
/// in flight at a time. A deletion stays pending until it is committed.
class HostRecordWrites {
 public:
  /// Marks a write of the machine's record as in flight. Returns false if one already is.
  bool begin(const std::string& machine) { return in_flight_.insert(machine).second; }
  /// Marks the write as no longer in flight: its outcome was reported, whether committed or not.
  void end(const std::string& machine) { in_flight_.erase(machine); }

  void request_deletion(const std::string& machine) { pending_deletions_.insert(machine); }
  void complete_deletion(const std::string& machine) { pending_deletions_.erase(machine); }
  const std::set<std::string>& pending_deletions() const { return pending_deletions_; }

 private:
  std::set<std::string> in_flight_;
  std::set<std::string> pending_deletions_;
};

}  // namespace sumacquay
