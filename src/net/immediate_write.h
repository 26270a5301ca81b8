#pragma once
#include <asio.hpp>
#include <string>

namespace sumacquay {

/// Writes as much as the socket takes now, without a wait or a callback. The socket must not block.
/// Returns the bytes that were taken; a socket that takes none now is no error.
inline size_t write_at_once(asio::ip::tcp::socket& socket, const std::string& bytes,
                            asio::error_code& error) {
  const size_t sent = socket.write_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block) error.clear();
  return sent;
}

}  // namespace sumacquay
