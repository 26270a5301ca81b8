// Prints as many free loopback ports as the argument says, one a line. They lie below the range
// from which the system takes the ports of outgoing connections.
#include <asio.hpp>
#include <iostream>
#include <random>
#include <vector>

int main(int argc, char** argv) {
  const int count = argc > 1 ? std::stoi(argv[1]) : 1;
  asio::io_context io;
  std::random_device random;
  std::vector<asio::ip::tcp::acceptor> held;
  for (int tries = 0; tries < 10000 && static_cast<int>(held.size()) < count; ++tries) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                           static_cast<unsigned short>(10000 + random() % 22000));
    asio::ip::tcp::acceptor acceptor(io);
    asio::error_code error;
    acceptor.open(endpoint.protocol());
    acceptor.bind(endpoint, error);
    if (error) continue;
    std::cout << endpoint.port() << "\n";
    held.push_back(std::move(acceptor));
  }
  return static_cast<int>(held.size()) == count ? 0 : 1;
}
