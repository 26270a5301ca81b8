#pragma once
#include <functional>
#include <string>

/// HTTP/1.1 messages as values, and how they are written. Server and client share them.
namespace sumacquay {

/// A request as the server's handler gets it.
struct HttpRequest {
  std::string method;
  std::string path;   ///< without the query
  std::string query;  ///< what follows the question mark
  std::string body;
};

/// The answer of the server's handler.
struct HttpReply {
  int status = 500;
  std::string body;
  int retry_after_s = 0;  ///< 0: no such header
};

/// What became of a request that a client sent.
struct HttpResult {
  bool answered = false;  ///< false: the request may have been executed, or may still be
  int status = 0;
  std::string body;
  /// Whether it was executed and succeeded.
  bool ok() const { return answered && status == 200; }
};

/// Whether a connection takes another request after an answer.
enum class KeepAlive { No, Yes };

/// A reply's head and body as they go out.
std::string serialize_reply(const HttpReply& reply, KeepAlive keep_alive);

/// A request's head and body as they go out. `host` is the address that is asked.
std::string serialize_request(const std::string& method, const std::string& target,
                              const std::string& host, const std::string& body);

}  // namespace sumacquay
