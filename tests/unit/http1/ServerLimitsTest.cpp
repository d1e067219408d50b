#include "unit/http1/ServerFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// A server that counts what its connections hold.
class ServerLimitsTest : public ServerTest {
protected:
  static constexpr std::size_t ConnectionBytes = 10'000;
  static constexpr std::size_t MaxConnections = 2;

  ServerLimitsTest() : Budget(MaxConnections * 64 * 1024) {
    Limits.MaxConnections = MaxConnections;
    Limits.ConnectionBytes = ConnectionBytes;
    HttpServer.setLimits(Limits);
    HttpServer.setBufferBudget(Budget, {.NoRoom = [](const RequestHead &) {
                                 ResponseHead head;
                                 head.Status = 503;
                                 return head;
                               }});
    // The fixture's connection was not accepted yet.
    runUntil([&] { return HttpServer.connections() == 1; });
  }

  std::shared_ptr<Socket> connect() {
    auto peer = std::make_shared<Socket>(Loop);
    peer->connect(Address);
    peer->non_blocking(true);
    Others.push_back(peer);
    return peer;
  }
  static void send(Socket &peer, const std::string &text) {
    boost::asio::write(peer, boost::asio::buffer(text));
  }
  static bool isClosed(Socket &peer) {
    std::array<char, 256> buf{};
    boost::system::error_code ec;
    peer.read_some(boost::asio::buffer(buf), ec);
    return ec && ec != boost::asio::error::would_block;
  }

  ServerLimits Limits;
  BufferBudget Budget;
  std::vector<std::shared_ptr<Socket>> Others;
};

// Guards against clients that only connect and leave no place to others.
TEST_F(ServerLimitsTest, newConnectionTakesThePlaceOfTheLongestIdle) {
  const auto second = connect();
  runUntil([&] { return HttpServer.connections() == 2; });
  stall(core::Millis(20));
  send(*second, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return Exchanges.size() == 1; });
  const auto third = connect();
  runUntil([&] { return !!ReadError; });
  EXPECT_EQ(HttpServer.connections(), 2U);
  EXPECT_FALSE(isClosed(*second));
}

// Guards against a request in progress that is cut off by a new connection.
TEST_F(ServerLimitsTest, connectionIsRefusedWhileAllServeRequests) {
  request();
  const auto second = connect();
  send(*second, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  runUntil([&] { return Exchanges.size() == 2; });
  const auto third = connect();
  runUntil([&] { return isClosed(*third); });
  EXPECT_EQ(HttpServer.connections(), 2U);
  Exchanges.front()->respond({}, "served");
  runUntil([&] { return Received.find("served") != std::string::npos; });
}

// Guards against heads that take up more than the process has.
TEST_F(ServerLimitsTest, headsCountInTheBudgetUntilTheResponse) {
  const std::size_t before = Budget.used();
  EXPECT_GE(before, ConnectionBytes);
  std::string fields;
  for (int n = 0; n < 1'000; ++n)
    fields += "a:\r\n";
  request(fields);
  EXPECT_GT(Budget.used(), before + 4'000);
  Exchanges.front()->respond({}, "");
  runUntil([&] { return !Received.empty(); });
  runUntil([&] { return Budget.used() == before; });
}

TEST_F(ServerLimitsTest, largestIncompleteRequestIsEnded) {
  const auto second = connect();
  write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" +
        std::string(8'000, 'x'));
  runUntil([&] { return Budget.used() > 2 * ConnectionBytes + 8'000; });
  EXPECT_FALSE(HttpServer.endLargest(64UL * 1024));
  EXPECT_TRUE(HttpServer.endLargest(ConnectionBytes + 8'000));
  runUntil([&] { return !Received.empty(); });
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 503"));
  EXPECT_TRUE(Exchanges.empty());
}

// Guards against bodies that stop short and keep the room from others.
TEST_F(ServerLimitsTest, stalledBodyYieldsItsRoomToAnother) {
  const std::string length = std::to_string(Budget.limit() / 2);
  const std::string head =
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n";
  write(head + "stops short");
  runUntil([&] { return Budget.used() > Budget.limit() / 2; });
  stall(core::Millis(600));
  const auto second = connect();
  send(*second, head + std::string(Budget.limit() / 2, 'x'));
  runUntil([&] { return Exchanges.size() == 1; });
  EXPECT_EQ(Exchanges.front()->body().size(), Budget.limit() / 2);
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 503"));
}

TEST_F(ServerLimitsTest, filteredRequestIsRefusedBeforeItsBody) {
  HttpServer.setHeadFilter([](const RequestHead &) {
    ResponseHead head;
    head.Status = 404;
    return std::optional(head);
  });
  write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nsome");
  runUntil([&] { return !Received.empty(); });
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(Exchanges.empty());
}

} // namespace
