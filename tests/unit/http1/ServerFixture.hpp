#pragma once

#include "support/LoopFixture.hpp"

#include "cowslipridge/http1/Server.hpp"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::http1 {

/// Calls a server over a connection that is already established. Requests are
/// collected, and the tests answer them.
class ServerTest : public support::LoopFixture {
protected:
  ServerTest()
      : HttpServer(Loop, Clock,
                   [this](std::shared_ptr<Exchange> it) {
                     Exchanges.push_back(std::move(it));
                   }),
        Peer(Loop) {
    // Finds a free port.
    Tcp::acceptor probe(Loop, anyPort());
    Address = probe.local_endpoint();
    probe.close();
    HttpServer.listen(Address);
    boost::system::error_code ec;
    Peer.connect(Address, ec);
    EXPECT_FALSE(ec);
    Peer.non_blocking(true);
    readMore();
  }

  void readMore() {
    Peer.async_read_some(boost::asio::buffer(Chunk),
                         [this](const auto &ec, std::size_t n) {
                           Received.append(Chunk.data(), n);
                           if (ec)
                             ReadError = ec;
                           else if (Reading)
                             readMore();
                         });
  }

  void write(const std::string &text) {
    boost::asio::write(Peer, boost::asio::buffer(text));
  }
  void request(const std::string &fields = "") {
    write("GET /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
    const std::size_t before = Exchanges.size();
    runUntil([&] { return Exchanges.size() > before; });
  }

  /// Reads on after a pause, and stops the server once nothing is in flight.
  void readPausedResponse() {
    runUntil([&] { return !Received.empty(); });
    EXPECT_EQ(HttpServer.inFlight(), 1U);
    Reading = true;
    readMore();
    runUntil([&] { return HttpServer.inFlight() == 0; });
    HttpServer.stop();
    runUntil([&] { return !!ReadError; });
  }

  Server HttpServer;
  Socket Peer;
  Endpoint Address;
  std::vector<std::shared_ptr<Exchange>> Exchanges;
  std::array<char, 4096> Chunk{};
  std::string Received;
  bool Reading = true; ///< after each chunk, whether to read the next one
  boost::system::error_code ReadError;
};

inline ResponseHead ok(Framing framing = Framing::None) {
  ResponseHead head;
  head.Body = framing;
  return head;
}

} // namespace cowslipridge::http1
