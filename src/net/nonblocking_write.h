#pragma once
#include <asio.hpp>
#include <string>

namespace sumacquay {

/// Writes as many bytes as the socket accepts now, without waiting and without a callback. The
/// socket must be in non-blocking mode. Returns the number of bytes written; a full send buffer is
/// not an error.
inline size_t write_without_blocking(asio::ip::tcp::socket& socket, const std::string& bytes,
                                     asio::error_code& error) {
  const size_t sent = socket.write_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block) error.clear();
  return sent;
}

}  // namespace sumacquay
