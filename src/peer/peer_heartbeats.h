#pragma once
#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>

#include "config/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peer/leader_hints.h"
#include "wire/peer_heartbeat.h"

namespace sumacquay {

/// Heartbeats between controllers. Every node periodically sends the highest term it has observed
/// to every peer; the leader adds job progress for users and hints for its successor, such as the
/// images that machines have cached. The node owns this object and supplies the contents (`Hooks`).
///
/// Owns the peer server, the clients for peers, the time of each peer's last heartbeat and the
/// leader's hints. Correctness depends only on terms and lease delegations: a node that has
/// answered a heartbeat with a term never acts under an older one.
class PeerHeartbeats {
 public:
  /// Callbacks of the node, which supply the contents of heartbeats and handle answers.
  struct Hooks {
    /// Builds this node's heartbeat: its status, and the given part if this node leads.
    std::function<wire::PeerHeartbeat(wire::PeerHeartbeatPart)> build_heartbeat;
    /// Builds the answer to a peer's heartbeat.
    std::function<wire::PeerHeartbeat(const wire::PeerHeartbeat& from)> build_answer;
    /// Handles a peer's answer to the heartbeat that was sent at `sent_at`.
    std::function<void(const std::string& node, const wire::PeerHeartbeat&,
                       std::chrono::steady_clock::time_point sent_at)>
        on_answer;
  };
  PeerHeartbeats(asio::io_context& io, const Settings& settings, double period_s, Hooks hooks);
  /// Starts the server and the periodic heartbeats.
  void start();
  /// Sends a heartbeat to all peers immediately, in addition to the periodic ones.
  void send_peer_heartbeats(wire::PeerHeartbeatPart part);

  /// The peer that has recently reported that it leads; empty if there is none.
  std::string leader() const;
  /// Highest term in which a peer has reported that it leads.
  uint64_t leader_term() const { return leader_term_; }
  /// The latest hints of the leader, whether it is a peer or this node.
  const LeaderHints& leader_hints() const { return leader_hints_; }
  /// Whether a peer has recently reported that the state service answers it.
  bool store_reachable_by_any_peer() const;

 private:
  void send_periodic_peer_heartbeats();
  void on_request(const HttpRequest& request, const Respond& respond);
  void log_silent_peers();
  void record_heartbeat(const wire::PeerHeartbeat& heartbeat);
  void send(HttpClient& client, const std::string& node, const std::string& body);

  asio::io_context& io_;
  const Settings& settings_;
  double period_s_;
  Hooks hooks_;
  /// Time of a peer's last heartbeat, and whether the peer was logged as silent.
  struct Peer {
    std::chrono::steady_clock::time_point last_heartbeat;
    bool silent = false;
  };
  std::map<std::string, Peer> peers_;  ///< by node
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;
  std::unique_ptr<HttpServer> server_;
  asio::steady_timer timer_;
  int periods_ = 0;
  int periods_per_job_progress_;
  std::string leader_;
  uint64_t leader_term_ = 0;
  std::chrono::steady_clock::time_point leader_heartbeat_at_{}, store_reachable_reported_at_{};
  LeaderHints leader_hints_;
  uint64_t last_batch_ = 0;  ///< number of the last batch sent, which its fragments carry
};

}  // namespace sumacquay
