#include "net/http_parsing.h"

#include <utility>

namespace sumacquay {
namespace {

// Return values of http_parser callbacks.
constexpr int kContinue = 0;
constexpr int kStop = 1;

KeepAlive keep_alive_of(const http_parser& parser) {
  return http_should_keep_alive(&parser) ? KeepAlive::Yes : KeepAlive::No;
}

/// Passes bytes to the library. Returns false if it did not consume them all.
bool execute(http_parser& parser, const http_parser_settings& callbacks, std::string_view bytes) {
  const size_t used = http_parser_execute(&parser, &callbacks, bytes.data(), bytes.size());
  return parser.http_errno == HPE_OK && used == bytes.size();
}

}  // namespace

HttpRequestParser::HttpRequestParser(Limits limits) : limits_(limits) {
  parser_.data = this;
  http_parser_init(&parser_, HTTP_REQUEST);
}

ParseProgress HttpRequestParser::parse(std::string_view bytes) {
  const bool valid = execute(parser_, callbacks(), bytes);
  if (progress_ == ParseProgress::Incomplete && !valid) progress_ = ParseProgress::Invalid;
  return progress_;
}

HttpRequest HttpRequestParser::take_request() {
  HttpRequest request;
  request.method = http_method_str(static_cast<http_method>(parser_.method));
  const auto question_mark = target_.find('?');
  request.path = target_.substr(0, question_mark);
  if (question_mark != std::string::npos) request.query = target_.substr(question_mark + 1);
  request.body = std::move(body_);
  return request;
}

KeepAlive HttpRequestParser::keep_alive() const {
  return keep_alive_of(parser_);
}

void HttpRequestParser::reset() {
  progress_ = ParseProgress::Incomplete;
  header_bytes_ = 0;
  target_.clear();
  body_ = std::string();
  http_parser_init(&parser_, HTTP_REQUEST);
}

HttpRequestParser& HttpRequestParser::instance_of(http_parser* parser) {
  return *static_cast<HttpRequestParser*>(parser->data);
}

int HttpRequestParser::count_header(size_t bytes) {
  header_bytes_ += bytes;
  if (header_bytes_ <= limits_.max_header_bytes) return kContinue;
  progress_ = ParseProgress::TooLarge;
  return kStop;
}

int HttpRequestParser::append_body(std::string_view part) {
  if (body_.size() + part.size() > limits_.max_body_bytes) {
    progress_ = ParseProgress::TooLarge;
    return kStop;
  }
  body_.append(part);
  return kContinue;
}

int HttpRequestParser::complete() {
  progress_ = ParseProgress::Complete;
  http_parser_pause(&parser_, 1);
  return kContinue;
}

const http_parser_settings& HttpRequestParser::callbacks() {
  static const http_parser_settings value = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* parser, const char* at, size_t size) {
      instance_of(parser).target_.append(at, size);
      return instance_of(parser).count_header(size);
    };
    settings.on_header_field = [](http_parser* parser, const char*, size_t size) {
      return instance_of(parser).count_header(size);
    };
    settings.on_header_value = settings.on_header_field;
    settings.on_body = [](http_parser* parser, const char* at, size_t size) {
      return instance_of(parser).append_body({at, size});
    };
    settings.on_message_complete = [](http_parser* parser) {
      return instance_of(parser).complete();
    };
    return settings;
  }();
  return value;
}

HttpResponseParser::HttpResponseParser(size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {
  parser_.data = this;
  http_parser_init(&parser_, HTTP_RESPONSE);
}

ParseProgress HttpResponseParser::parse(std::string_view bytes) {
  const bool valid = execute(parser_, callbacks(), bytes);
  if (complete_) return ParseProgress::Complete;
  return valid ? ParseProgress::Incomplete : ParseProgress::Invalid;
}

std::string HttpResponseParser::take_body() {
  return std::exchange(body_, {});
}

KeepAlive HttpResponseParser::keep_alive() const {
  return keep_alive_of(parser_);
}

void HttpResponseParser::reset() {
  complete_ = false;
  body_.clear();
  http_parser_init(&parser_, HTTP_RESPONSE);
}

HttpResponseParser& HttpResponseParser::instance_of(http_parser* parser) {
  return *static_cast<HttpResponseParser*>(parser->data);
}

const http_parser_settings& HttpResponseParser::callbacks() {
  static const http_parser_settings value = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_body = [](http_parser* parser, const char* at, size_t size) {
      HttpResponseParser& self = instance_of(parser);
      if (self.body_.size() + size > self.max_body_bytes_) return kStop;
      self.body_.append(at, size);
      return kContinue;
    };
    settings.on_message_complete = [](http_parser* parser) {
      instance_of(parser).complete_ = true;
      return kContinue;
    };
    return settings;
  }();
  return value;
}

}  // namespace sumacquay
