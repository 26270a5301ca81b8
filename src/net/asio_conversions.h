#pragma once
#include <asio.hpp>
#include <chrono>

#include "config/settings.h"

/// Conversions from the project's types to those of Asio.
namespace sumacquay {

/// Seconds as whole milliseconds, rounded down.
inline std::chrono::milliseconds to_milliseconds(double seconds) {
  return std::chrono::milliseconds(static_cast<long long>(seconds * 1000));
}

/// Throws std::system_error if the host is not an IP address; names are not resolved.
inline asio::ip::tcp::endpoint to_tcp_endpoint(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.host), endpoint.port};
}

}  // namespace sumacquay
