#include "jobs/dependency_graph.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace sumacquay {

const DependencyGraph::Node* DependencyGraph::find(const std::string& id) const {
  const auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

void DependencyGraph::update(const JobRecord& record) {
  const std::string& id = record.spec.id;
  if (record.state == JobState::Pending) {
    set_state(id, State::Pending, 0);
    const Node& node = nodes_.at(id);
    if (node.state == State::Pending && node.dependencies.empty())
      add_dependencies(id, record.spec.dependencies);
    return;
  }
  set_finished(id, record.state, record.ended_ms);
}

void DependencyGraph::set_finished(const std::string& id, JobState state, uint64_t ended_ms) {
  if (!nodes_.contains(id)) return;
  set_state(id, state == JobState::Done ? State::Done : State::Cancelled, ended_ms);
}

void DependencyGraph::on_live_record_deleted(const std::string& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return;
  if (!is_terminal(found->second)) set_state(id, State::Unknown, 0);
  remove_dependency_edges(id);
  erase_if_unreferenced(id);
}

void DependencyGraph::clear() {
  nodes_.clear();
  unknown_jobs_.clear();
}

void DependencyGraph::set_state(const std::string& id, State next, uint64_t ended_ms) {
  Node& node = nodes_[id];
  if (node.state == next || is_terminal(node)) return;
  node.state = next;
  if (next == State::Unknown)
    unknown_jobs_.insert(id);
  else
    unknown_jobs_.erase(id);
  if (!is_terminal(node)) return;
  node.ended_ms = ended_ms;
  if (next == State::Done) {
    for (const auto& dependent : node.dependents) on_dependency_done(nodes_.at(dependent), node);
  } else {
    cancel_dependents(id);
  }
  remove_dependency_edges(id);
  erase_if_unreferenced(id);
}

void DependencyGraph::add_dependencies(const std::string& id,
                                       const std::vector<std::string>& dependencies) {
  bool has_cancelled_dependency = false;
  for (const auto& dependency_id : dependencies) {
    Node& dependency = nodes_[dependency_id];
    if (!dependency.dependents.insert(id).second) continue;
    Node& node = nodes_.at(id);
    node.dependencies.push_back(dependency_id);
    ++node.unfinished_dependencies;
    if (dependency.state == State::Done) on_dependency_done(node, dependency);
    if (dependency.state == State::Unknown) unknown_jobs_.insert(dependency_id);
    has_cancelled_dependency = has_cancelled_dependency || dependency.cancelled;
  }
  if (!has_cancelled_dependency) return;
  nodes_.at(id).cancelled = true;
  cancel_dependents(id);
}

void DependencyGraph::on_dependency_done(Node& dependent, const Node& dependency) {
  --dependent.unfinished_dependencies;
  dependent.ready_ms = std::max(dependent.ready_ms, dependency.ended_ms);
}

void DependencyGraph::cancel_dependents(const std::string& id) {
  nodes_.at(id).cancelled = true;
  std::vector<std::string> cancelled{id};
  while (!cancelled.empty()) {
    const std::string next = std::move(cancelled.back());
    cancelled.pop_back();
    for (const auto& dependent_id : nodes_.at(next).dependents) {
      Node& dependent = nodes_.at(dependent_id);
      if (dependent.cancelled) continue;
      dependent.cancelled = true;
      cancelled.push_back(dependent_id);
    }
  }
}

/// Removes the job's dependency edges, which a job in a terminal state no longer needs.
void DependencyGraph::remove_dependency_edges(const std::string& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return;
  for (const auto& dependency : std::exchange(found->second.dependencies, {})) {
    nodes_.at(dependency).dependents.erase(id);
    erase_if_unreferenced(dependency);
  }
}

void DependencyGraph::erase_if_unreferenced(const std::string& id) {
  const auto found = nodes_.find(id);
  if (found == nodes_.end()) return;
  const Node& node = found->second;
  if (node.state == State::Pending || !node.dependents.empty()) return;
  unknown_jobs_.erase(id);
  nodes_.erase(found);
}

bool DependencyGraph::ready(const std::string& id) const {
  const Node* node = find(id);
  return !node || node->unfinished_dependencies == 0;
}

bool DependencyGraph::cancelled(const std::string& id) const {
  const Node* node = find(id);
  return node && node->cancelled;
}

bool DependencyGraph::cancellation_is_conclusive(const std::string& id) const {
  if (unknown_jobs_.empty() || cancelled(id)) return true;
  std::unordered_set<std::string_view> seen{id};
  std::vector<std::string_view> to_visit{id};
  while (!to_visit.empty()) {
    const Node* node = find(std::string(to_visit.back()));
    to_visit.pop_back();
    if (!node) continue;
    if (node->state == State::Unknown) return false;
    for (const auto& dependency : node->dependencies)
      if (seen.insert(dependency).second) to_visit.push_back(dependency);
  }
  return true;
}

uint64_t DependencyGraph::ready_ms(const std::string& id) const {
  const Node* node = find(id);
  return node ? node->ready_ms : 0;
}

std::optional<FinishedRecord> DependencyGraph::outcome(const std::string& id) const {
  const Node* node = find(id);
  if (!node || !is_terminal(*node)) return std::nullopt;
  FinishedRecord record;
  record.state = node->state == State::Done ? JobState::Done : JobState::Cancelled;
  record.ended_ms = node->ended_ms;
  return record;
}

const std::vector<std::string>& DependencyGraph::dependencies(const std::string& id) const {
  static const std::vector<std::string> none;
  const Node* node = find(id);
  return node ? node->dependencies : none;
}

const std::set<std::string>& DependencyGraph::dependents(const std::string& id) const {
  static const std::set<std::string> none;
  const Node* node = find(id);
  return node ? node->dependents : none;
}

}  // namespace sumacquay
