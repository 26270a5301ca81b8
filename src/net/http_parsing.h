#pragma once
#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "net/http_message.h"

/// Incremental parsing of HTTP/1.1 messages, over the http_parser library. Bytes come from whoever
/// connects, so everything that is kept has a limit. No I/O.
namespace sumacquay {

/// How far a message is after some bytes.
enum class ParseProgress {
  Incomplete,  ///< more bytes are needed
  Complete,
  TooLarge,  ///< over a limit
  Invalid,   ///< not HTTP
};

/// Reads one request at a time.
class HttpRequestParser {
 public:
  /// Bounds on what a peer may send.
  struct Limits {
    size_t header_bytes;  ///< the target counts as well
    size_t body_bytes;
  };

  explicit HttpRequestParser(Limits limits);
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  /// Takes the next bytes. What follows a complete request is dropped: nothing is pipelined.
  ParseProgress parse(std::string_view bytes);

  /// The complete request; its body is moved out.
  HttpRequest take_request();

  /// Whether the peer can send another request on the connection.
  KeepAlive keep_alive() const;

  /// Makes it ready for the next request, and gives back the memory of this one.
  void reset();

 private:
  static const http_parser_settings& callbacks();
  static HttpRequestParser& of(http_parser* parser);
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

/// Reads one response at a time.
class HttpResponseParser {
 public:
  explicit HttpResponseParser(size_t max_body_bytes);
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  /// Takes the next bytes. A body over the limit counts as invalid.
  ParseProgress parse(std::string_view bytes);

  int status() const { return static_cast<int>(parser_.status_code); }
  /// The complete response's body, moved out.
  std::string take_body();

  /// Whether the connection can be used for another request.
  KeepAlive keep_alive() const;

  /// Makes it ready for the next response.
  void reset();

 private:
  static const http_parser_settings& callbacks();
  static HttpResponseParser& of(http_parser* parser);

  http_parser parser_{};
  size_t max_body_bytes_;
  bool complete_ = false;
  std::string body_;
};

}  // namespace sumacquay
