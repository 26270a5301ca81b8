#pragma once
#include <functional>
#include <string>

/// HTTP/1.1 messages as values and their serialization, shared by server and client.
namespace sumacquay {

/// A request as passed to the server's handler.
struct HttpRequest {
  std::string method;
  std::string path;   ///< without the query
  std::string query;  ///< without the question mark
  std::string body;
};

/// The response of the server's handler.
struct HttpReply {
  int status = 500;
  std::string body;
  int retry_after_s = 0;  ///< Retry-After header; 0: none
};

/// The outcome of a request that a client sent.
struct HttpResult {
  bool answered = false;  ///< false: the request may or may not be executed
  int status = 0;
  std::string body;
  /// Whether the request was executed successfully.
  bool ok() const { return answered && status == 200; }
};

/// Whether a connection stays open for another request after a response.
enum class KeepAlive { No, Yes };

/// The bytes of a response: status line, header and body.
std::string serialize_reply(const HttpReply& reply, KeepAlive keep_alive);

/// The bytes of a request: request line, header and body. `host` is the server's address.
std::string serialize_request(const std::string& method, const std::string& target,
                              const std::string& host, const std::string& body);

}  // namespace sumacquay
