#include "unit/http1/ServerFixture.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

/// A server with room for one large body.
class ServerBufferTest : public ServerTest {
protected:
  static constexpr std::size_t BodyBytes = 64UL * 1024;

  ServerBufferTest() : Budget(BodyBytes), Other(Budget.emptyShare()) {
    ServerLimits limits;
    limits.RoomTime = core::Millis(100);
    HttpServer.setLimits(limits);
    HttpServer.setBufferBudget(Budget,
                               {.NoRoom = [](const RequestHead &request) {
                                 ResponseHead head;
                                 head.Status = 503;
                                 head.Fields.add("Retry-After", "0.5");
                                 head.Fields.add("X-Target", request.Target);
                                 return head;
                               }});
  }

  static std::string post(const std::string &framing) {
    return "POST /x HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
  }
  static std::string largeHead() {
    return post("Content-Length: " + std::to_string(BodyBytes));
  }
  static std::string largeBody() { return std::string(BodyBytes, 'x'); }

  BufferBudget Budget;
  BufferBudget::Share Other; ///< of another holder
};

// Guards against bodies that together take up more than the process has.
TEST_F(ServerBufferTest, bodyIsReadOnceThereIsRoomForIt) {
  Other.resize(1);
  write(largeHead());
  runUntil([&] { return Budget.waiting() == 1; });
  EXPECT_TRUE(Exchanges.empty());
  Other.resize(0);
  EXPECT_EQ(Budget.used(), BodyBytes);
  write(largeBody());
  runUntil([&] { return !Exchanges.empty(); });
  EXPECT_EQ(Exchanges.front()->body().size(), BodyBytes);
  EXPECT_EQ(Budget.used(), BodyBytes);
}

TEST_F(ServerBufferTest, requestWithoutRoomIsRejectedUnread) {
  Other.resize(1);
  write(largeHead());
  runUntil([&] { return Received.find("\r\n\r\n") != std::string::npos; });
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 503"));
  EXPECT_NE(Received.find("Retry-After: 0.5"), std::string::npos);
  EXPECT_NE(Received.find("X-Target: /x"), std::string::npos);
  EXPECT_TRUE(Exchanges.empty());
  EXPECT_EQ(Budget.waiting(), 0U);
  EXPECT_EQ(Budget.used(), 1U);
}

TEST_F(ServerBufferTest, smallBodiesNeedNotWait) {
  Other.resize(BodyBytes);
  write(post("Content-Length: 4") + "abcd");
  runUntil([&] { return !Exchanges.empty(); });
  EXPECT_EQ(Budget.used(), BodyBytes + 4);
}

TEST_F(ServerBufferTest, largeChunkedBodyWaitsForRoom) {
  Other.resize(BodyBytes);
  write(post("Transfer-Encoding: chunked") + "8000\r\n" +
        std::string(0x8000, 'x') + "\r\n");
  runUntil([&] { return Budget.waiting() == 1; });
  Other.resize(0);
  write("0\r\n\r\n");
  runUntil([&] { return !Exchanges.empty(); });
  EXPECT_EQ(Exchanges.front()->body().size(), 0x8000U);
  EXPECT_EQ(Budget.used(), 0x8000U) << "what was not needed is given back";
}

TEST_F(ServerBufferTest, roomIsGivenBackWithTheResponse) {
  write(largeHead() + largeBody());
  runUntil([&] { return !Exchanges.empty(); });
  Exchanges.front()->respond({}, "ok");
  runUntil([&] { return Received.find("ok") != std::string::npos; });
  Exchanges.clear();
  EXPECT_EQ(Budget.used(), 0U);
}

TEST_F(ServerBufferTest, roomIsGivenBackByAClientThatLeavesWithinItsBody) {
  write(largeHead() + "half");
  runUntil([&] { return Budget.used() == BodyBytes; });
  Peer.close();
  runUntil([&] { return Budget.used() == 0; });
}

} // namespace
