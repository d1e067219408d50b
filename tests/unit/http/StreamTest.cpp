#include "ServerFixture.hpp"

#include "cowslipridge/core/Error.hpp"

#include "support/RawSocket.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http;
using cowslipridge::support::RawSocket;

namespace {

class StreamTest : public ServerFixture {
protected:
  /// Serves one request whose responder the test controls.
  void serveHeld() {
    serve([this](const Request &, std::shared_ptr<Responder> responder) {
      Held.set(std::move(responder));
    });
  }

  std::shared_ptr<Responder> held() { return Held.get().value_or(nullptr); }

  support::EventualValue<std::shared_ptr<Responder>> Held;
};

TEST_F(StreamTest, deliversEachEventBeforeTheNextIsWritten) {
  serveHeld();
  Client client(base(), ReplyTimeout);
  std::mutex guard;
  std::string body;
  support::EventualValue<std::error_code> ended;
  ResponseEvents events;
  events.OnChunk = [&](const std::string &chunk) {
    const std::lock_guard lock(guard);
    body += chunk;
  };
  events.OnEnd = [&](std::error_code ec, SendStage) { ended.set(ec); };
  client.send({"POST", "/", {}, "ask"}, events);
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->start(200, {{"Content-Type", "text/event-stream"}});
  std::string expected;
  for (int i = 0; i < 50; ++i) {
    const std::string event = "data: " + std::to_string(i) + "\n\n";
    expected += event;
    responder->write(event);
    ASSERT_TRUE(support::eventually([&] {
      const std::lock_guard lock(guard);
      return body == expected;
    })) << i;
  }
  responder->finish();
  const auto ec = ended.get();
  ASSERT_TRUE(ec);
  EXPECT_FALSE(*ec);
}

TEST_F(StreamTest, keepsTheOrderOfAFastStream) {
  serveHeld();
  Client client(base(), ReplyTimeout);
  auto recorder = std::make_shared<Recorder>();
  client.send({"GET", "/", {}, ""}, record(recorder));
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->start(200, {});
  std::string expected;
  for (int i = 0; i < 20'000; ++i) {
    const std::string event = std::to_string(i) + ",";
    expected += event;
    responder->write(event);
  }
  responder->finish();
  const auto seen = recorder->Ended.get();
  ASSERT_TRUE(seen);
  EXPECT_FALSE(seen->Error);
  EXPECT_EQ(seen->body(), expected);
}

TEST_F(StreamTest, abortIsAnErrorForTheClient) {
  serveHeld();
  Client client(base(), ReplyTimeout);
  auto recorder = std::make_shared<Recorder>();
  client.send({"GET", "/", {}, ""}, record(recorder));
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->start(200, {});
  responder->write("half");
  responder->abort();
  responder->write("never sent");
  responder->finish();
  const auto seen = recorder->Ended.get();
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->Error, core::Errc::RunnerFailed);
  EXPECT_EQ(seen->Stage, SendStage::MayBeSent);
  EXPECT_EQ(seen->body(), "half");
  EXPECT_TRUE(support::eventually([&] { return Listener->inFlight() == 0; }));
}

TEST_F(StreamTest, abortSendsNoFinalChunk) {
  serveHeld();
  const auto socket = RawSocket::connect(support::loopbackAddress(), Port);
  socket.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->start(200, {});
  responder->write("half");
  responder->abort();
  bool closed = false;
  const auto answer = socket.receiveAll(closed);
  EXPECT_TRUE(closed);
  EXPECT_NE(answer.find("half"), std::string::npos);
  EXPECT_EQ(answer.find("\r\n0\r\n"), std::string::npos);
}

TEST_F(StreamTest, droppedResponderAbortsTheStream) {
  serve([](const Request &, const std::shared_ptr<Responder> &responder) {
    responder->start(200, {});
    responder->write("half");
  });
  Client client(base(), ReplyTimeout);
  const auto response = client.fetch({"GET", "/", {}, ""});
  EXPECT_FALSE(response);
}

TEST_F(StreamTest, detectsClientDisconnect) {
  serveHeld();
  auto socket = RawSocket::connect(support::loopbackAddress(), Port);
  socket.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->start(200, {});
  responder->write("first");
  socket.receiveUntil("first");
  EXPECT_FALSE(responder->isDisconnected());
  socket.close();
  EXPECT_TRUE(support::eventually([&] {
    responder->write("more");
    return responder->isDisconnected();
  }));
  EXPECT_TRUE(support::eventually([&] { return Listener->inFlight() == 0; }));
}

TEST_F(StreamTest, abortsForAClientThatDoesNotRead) {
  serveHeld();
  const auto socket = RawSocket::connect(support::loopbackAddress(), Port);
  socket.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->start(200, {});
  const std::string chunk(std::size_t{1024} * 1024, 'x');
  for (int i = 0; i < 64 && !responder->isDisconnected(); ++i)
    responder->write(chunk);
  EXPECT_TRUE(responder->isDisconnected());
}

TEST_F(StreamTest, cancelEndsTheExchange) {
  serveHeld();
  Client client(base(), ReplyTimeout);
  auto recorder = std::make_shared<Recorder>();
  const auto exchange = client.send({"POST", "/", {}, "x"}, record(recorder));
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->start(200, {});
  responder->write("first");
  ASSERT_TRUE(recorder->HeadSeen.get());
  exchange->cancel();
  const auto seen = recorder->Ended.get();
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->Error, core::Errc::Cancelled);
  EXPECT_TRUE(support::eventually([&] {
    responder->write("more");
    return responder->isDisconnected();
  }));
}

TEST_F(StreamTest, cancelBeforeTheHeadEndsTheExchange) {
  serveHeld();
  Client client(base(), ReplyTimeout);
  auto recorder = std::make_shared<Recorder>();
  const auto exchange = client.send({"GET", "/", {}, ""}, record(recorder));
  ASSERT_TRUE(held());
  exchange->cancel();
  exchange->cancel();
  const auto seen = recorder->Ended.get();
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->Error, core::Errc::Cancelled);
  EXPECT_EQ(seen->Stage, SendStage::MayBeSent);
  exchange->cancel();
}

TEST_F(StreamTest, timesOutBetweenBytes) {
  serveHeld();
  Client client(base(), core::Millis(200));
  auto recorder = std::make_shared<Recorder>();
  client.send({"GET", "/", {}, ""}, record(recorder));
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->start(200, {});
  responder->write("first");
  const auto seen = recorder->Ended.get();
  ASSERT_TRUE(seen);
  EXPECT_EQ(seen->Error, core::Errc::DeadlineExceeded);
  EXPECT_EQ(seen->Stage, SendStage::MayBeSent);
  EXPECT_EQ(seen->body(), "first");
}

TEST_F(StreamTest, lateBytesDoNotReachTheNextExchange) {
  serve([this](const Request &request, std::shared_ptr<Responder> responder) {
    if (request.Target != "/slow") {
      responder->respond({200, {}, "own answer"});
      return;
    }
    Held.set(std::move(responder));
  });
  Client client(base(), core::Millis(200));
  EXPECT_FALSE(client.fetch({"GET", "/slow", {}, ""}));
  const auto responder = held();
  ASSERT_TRUE(responder);
  responder->respond({200, {}, "late answer"});
  for (int i = 0; i < 5; ++i) {
    const auto response = client.fetch({"GET", "/fast", {}, ""});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->Body, "own answer");
  }
}

} // namespace
