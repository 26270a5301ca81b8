#include "world/state_service.h"

#include <algorithm>

namespace sumacquay::simulation {

namespace {
/// How long past its end a lease is kept.
constexpr Seconds kLeaseSlack = 0.05;
}  // namespace

StateService::Change StateService::put(std::string key, Value value, uint64_t lease) {
  return {std::move(key), std::make_shared<const Value>(std::move(value)), 0, lease};
}

StateService::Change StateService::remove(std::string key) {
  return put(std::move(key), {});
}

uint64_t StateService::version(const std::string& key) const {
  const auto item = items_.find(key);
  return item == items_.end() ? 0 : item->second.version;
}

std::optional<uint64_t> StateService::transact(const std::vector<wire::Guard>& guards,
                                               std::vector<Change> changes) {
  for (const auto& change : changes)
    if (change.lease && !leases_.contains(change.lease)) return std::nullopt;
  for (const auto& guard : guards)
    if (version(guard.key) != guard.version) return std::nullopt;
  if (changes.empty()) return revision_;
  ++revision_;
  for (auto& change : changes) apply(std::move(change));
  return revision_;
}

std::vector<StateService::Change> StateService::changes_after(uint64_t revision) const {
  const auto from = std::upper_bound(
      log_.begin(), log_.end(), revision,
      [](uint64_t sought, const Change& change) { return sought < change.version; });
  return {from, log_.end()};
}

std::vector<StateService::Change> StateService::all() const {
  std::vector<Change> out;
  for (const auto& [key, item] : items_) out.push_back(item);
  return out;
}

const StateService::Change* StateService::find(const std::string& key) const {
  const auto item = items_.find(key);
  return item == items_.end() ? nullptr : &item->second;
}

uint64_t StateService::grant(Seconds now, Seconds duration) {
  leases_[++last_lease_] = {now + duration, duration};
  return last_lease_;
}

bool StateService::renew(uint64_t lease, Seconds now) {
  const auto held = leases_.find(lease);
  if (held == leases_.end()) return false;
  held->second.ends_at = now + held->second.duration;
  return true;
}

void StateService::revoke(uint64_t lease) {
  if (!leases_.erase(lease)) return;
  std::vector<std::string> gone;
  for (const auto& [key, item] : items_)
    if (item.lease == lease) gone.push_back(key);
  if (gone.empty()) return;
  ++revision_;
  for (const auto& key : gone) apply(remove(key));
}

void StateService::expire_leases(Seconds now) {
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : leases_)
    if (now > lease.ends_at + kLeaseSlack) ended.push_back(id);
  for (const auto id : ended) revoke(id);
}

void StateService::restart_leases(Seconds now) {
  for (auto& [id, lease] : leases_) lease.ends_at = now + lease.duration;
}

void StateService::apply(Change change) {
  change.version = revision_;
  if (change.deletes())
    items_.erase(change.key);
  else
    items_[change.key] = change;
  log_.push_back(std::move(change));
}

}  // namespace sumacquay::simulation
