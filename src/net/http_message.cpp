#include "net/http_message.h"

namespace sumacquay {
namespace {

constexpr const char* kContentType = "application/msgpack";

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

/// The header fields that describe the body.
std::string body_headers(const std::string& body) {
  return std::string("\r\nContent-Type: ") + kContentType +
         "\r\nContent-Length: " + std::to_string(body.size());
}

}  // namespace

std::string serialize_reply(const HttpReply& reply, KeepAlive keep_alive) {
  std::string bytes =
      "HTTP/1.1 " + std::to_string(reply.status) + " " + reason_phrase(reply.status);
  bytes += body_headers(reply.body);
  if (reply.retry_after_s > 0) bytes += "\r\nRetry-After: " + std::to_string(reply.retry_after_s);
  if (keep_alive == KeepAlive::No) bytes += "\r\nConnection: close";
  bytes += "\r\n\r\n";
  bytes += reply.body;
  return bytes;
}

std::string serialize_request(const std::string& method, const std::string& target,
                              const std::string& host, const std::string& body) {
  std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: " + host;
  bytes += body_headers(body);
  bytes += "\r\n\r\n";
  bytes += body;
  return bytes;
}

}  // namespace sumacquay
