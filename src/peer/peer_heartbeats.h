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

/// Heartbeats among controllers: every node sends to every other, at a steady pace, which term
/// it knows; the leader adds the counts that users are shown and the images that machines hold,
/// which would help its successor place. Made by the node, which supplies what is said (`Hooks`)
/// and asks what was heard. Nothing that safety needs rests on it, but for one answer: a node that
/// has answered a term never acts under an older one.
class PeerHeartbeats {
 public:
  /// What the node supplies: what is said to peers, and what is done with answers.
  struct Hooks {
    /// What this node says: its status, or also what users are shown or a successor would want.
    std::function<wire::PeerHeartbeat(wire::PeerHeartbeatPart)> own;
    std::function<wire::PeerHeartbeat(const wire::PeerHeartbeat& from)> answer;
    /// A peer has answered what was sent at `asked_at`.
    std::function<void(const std::string& node, const wire::PeerHeartbeat&,
                       std::chrono::steady_clock::time_point asked_at)>
        answered;
  };
  PeerHeartbeats(asio::io_context& io, const Settings& settings, double period_s, Hooks hooks);
  void start();
  /// Sends a heartbeat to all peers at once, beside the steady ones.
  void send_peer_heartbeats(wire::PeerHeartbeatPart part);

  /// The leader that others speak of, empty if none was heard of lately.
  std::string leader() const;
  uint64_t leader_term() const { return leader_term_; }
  /// As the leader said last, be it another node or this one.
  const LeaderHints& leader_hints() const { return leader_hints_; }
  /// Another node was served by the state service lately.
  bool others_served() const;

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
  /// When a peer was last heard.
  struct Peer {
    std::chrono::steady_clock::time_point heard;
    bool silent = false;
  };
  std::map<std::string, Peer> peers_;  ///< by node
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;
  std::unique_ptr<HttpServer> server_;
  asio::steady_timer timer_;
  int periods_ = 0;
  int periods_per_counts_;
  std::string leader_;
  uint64_t leader_term_ = 0;
  std::chrono::steady_clock::time_point leader_heard_{}, served_heard_{};
  LeaderHints leader_hints_;
  uint64_t batches_ = 0;  ///< sent so far; numbers the fragments of those that need several
};

}  // namespace sumacquay
