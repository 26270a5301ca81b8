#pragma once
#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "net/http_message.h"

/// Incremental parsing of HTTP/1.1 messages with the http_parser library. Peers are not trusted, so
/// everything that is buffered has a limit. No I/O.
namespace sumacquay {

/// The state of a message after the bytes parsed so far.
enum class ParseProgress {
  Incomplete,  ///< more bytes are needed
  Complete,
  TooLarge,  ///< exceeds a limit
  Invalid,   ///< not valid HTTP
};

/// Parses one request at a time.
class HttpRequestParser {
 public:
  /// Limits on the size of a request.
  struct Limits {
    size_t max_header_bytes;  ///< including the request target
    size_t max_body_bytes;
  };

  explicit HttpRequestParser(Limits limits);
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  /// Parses the next bytes. Bytes after a complete request are dropped: pipelining is not
  /// supported.
  ParseProgress parse(std::string_view bytes);

  /// Returns the complete request and moves its body out of the parser.
  HttpRequest take_request();

  /// The request target as far as it has been received.
  const std::string& target() const { return target_; }

  /// Whether the request permits a further request on the connection.
  KeepAlive keep_alive() const;

  /// Prepares for the next request and frees the memory of this one.
  void reset();

 private:
  static const http_parser_settings& callbacks();
  static HttpRequestParser& instance_of(http_parser* parser);
  int count_header(size_t bytes);
  int append_body(std::string_view part);
  int complete();

  http_parser parser_{};
  Limits limits_;
  ParseProgress progress_ = ParseProgress::Incomplete;
  std::string target_;
  std::string body_;
  size_t header_bytes_ = 0;
};

/// Parses one response at a time.
class HttpResponseParser {
 public:
  explicit HttpResponseParser(size_t max_body_bytes);
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  /// Parses the next bytes. A response whose body exceeds the limit is invalid.
  ParseProgress parse(std::string_view bytes);

  int status() const { return static_cast<int>(parser_.status_code); }
  /// Moves the body of the complete response out of the parser.
  std::string take_body();

  /// Whether the response permits a further request on the connection.
  KeepAlive keep_alive() const;

  /// Prepares for the next response.
  void reset();

 private:
  static const http_parser_settings& callbacks();
  static HttpResponseParser& instance_of(http_parser* parser);

  http_parser parser_{};
  size_t max_body_bytes_;
  bool complete_ = false;
  std::string body_;
};

}  // namespace sumacquay
