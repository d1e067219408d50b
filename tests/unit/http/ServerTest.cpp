#include "ServerFixture.hpp"

#include "cowslipridge/core/Error.hpp"

#include "support/RawSocket.hpp"

using namespace cowslipridge;
using namespace cowslipridge::http;
using cowslipridge::support::RawSocket;

namespace {

class ServerTest : public ServerFixture {
protected:
  void serveEcho() {
    serve([](const Request &request,
             const std::shared_ptr<Responder> &responder) {
      responder->respond({200, {{"Content-Type", "text/plain"}}, request.Body});
    });
  }

  [[nodiscard]] RawSocket connect() const {
    return RawSocket::connect(support::loopbackAddress(), Port);
  }
};

TEST_F(ServerTest, passesTheCompleteRequestToTheHandler) {
  support::EventualValue<Request> received;
  serve([&](Request request, const std::shared_ptr<Responder> &responder) {
    received.set(std::move(request));
    responder->respond(makeJson(201, "{}"));
  });
  Client client(base(), ReplyTimeout);
  const std::string body(50'000, 'x');
  const auto response =
      client.fetch({"PUT", "/v1/a%20b?x=%26&y", {{"X-One", "1"}}, body});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->Status, 201);
  EXPECT_EQ(findHeader(response->Fields, "Content-Type"), "application/json");
  const auto request = received.get();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->Method, "PUT");
  EXPECT_EQ(request->Target, "/v1/a%20b?x=%26&y");
  EXPECT_EQ(findHeader(request->Fields, "x-one"), "1");
  EXPECT_EQ(request->Body, body);
}

TEST_F(ServerTest, servesEveryMethod) {
  serve(
      [](const Request &request, const std::shared_ptr<Responder> &responder) {
        responder->respond({200, {{"X-Method", request.Method}}, ""});
      });
  Client client(base(), ReplyTimeout);
  for (const char *method :
       {"GET", "POST", "DELETE", "PATCH", "OPTIONS", "TRACE", "HEAD"}) {
    const auto response = client.fetch({method, "/", {}, ""});
    ASSERT_TRUE(response) << method;
    EXPECT_EQ(findHeader(response->Fields, "X-Method"), method);
  }
}

TEST_F(ServerTest, rejectsAnOversizedBody) {
  serveEcho();
  Client client(base(), ReplyTimeout);
  const auto response =
      client.fetch({"POST", "/", {}, std::string(64 * 1024 + 1, 'x')});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->Status, 413);
  EXPECT_EQ(findHeader(response->Fields, "Content-Type"),
            "application/problem+json");
}

TEST_F(ServerTest, rejectsAnOversizedChunkedBody) {
  serveEcho();
  const auto socket = connect();
  socket.send(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
  for (int i = 0; i < 3; ++i)
    socket.send(chunk);
  socket.send("0\r\n\r\n");
  bool closed = false;
  EXPECT_EQ(socket.receiveAll(closed).substr(0, 12), "HTTP/1.1 413");
  EXPECT_TRUE(closed);
}

TEST_F(ServerTest, acceptsAChunkedBody) {
  serveEcho();
  const auto socket = connect();
  socket.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
              "Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  bool closed = false;
  const auto answer = socket.receiveAll(closed);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
  EXPECT_NE(answer.find("\r\n\r\nabcde"), std::string::npos);
}

TEST_F(ServerTest, rejectsOversizedHeaders) {
  serveEcho();
  const auto socket = connect();
  socket.send("GET / HTTP/1.1\r\nHost: x\r\nX-Big: " +
              std::string(40'000, 'x') + "\r\n\r\n");
  EXPECT_EQ(socket.receiveUntil("\r\n\r\n").substr(0, 12), "HTTP/1.1 413");
}

TEST_F(ServerTest, rejectsAmbiguousFraming) {
  serveEcho();
  for (const std::string fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3x\r\n", "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: gzip\r\n"}) {
    const auto socket = connect();
    socket.send("POST / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n0\r\n\r\n");
    bool closed = false;
    EXPECT_EQ(socket.receiveAll(closed).substr(0, 12), "HTTP/1.1 400")
        << fields;
    EXPECT_TRUE(closed) << fields;
  }
}

// cpprestsdk parses a negative length as a huge one and sends no response
// before the body has ended, so the request ends only when the client
// disconnects.
TEST_F(ServerTest, neverHandlesARequestWithNegativeLength) {
  support::EventualValue<bool> called;
  serve([&](const Request &, const std::shared_ptr<Responder> &responder) {
    called.set(true);
    responder->respond({});
  });
  auto socket = connect();
  socket.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n"
              "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(
      support::eventually([this] { return Listener->inFlight() == 1; }));
  socket.close();
  EXPECT_TRUE(
      support::eventually([this] { return Listener->inFlight() == 0; }));
  EXPECT_FALSE(called.get(std::chrono::milliseconds(0)));
}

TEST_F(ServerTest, rejectsInvalidRequestsAndKeepsServing) {
  serveEcho();
  for (const std::string &garbage :
       {std::string("\x00\x01\x02\xff\r\n\r\n", 8), std::string("GET\r\n\r\n"),
        std::string("G@T / HTTP/1.1\r\n\r\n"),
        std::string("GET /without/a/version\r\n\r\n"),
        std::string("GET / HTTP/9.9\r\n\r\n"),
        std::string("GET /%zz%\x80 HTTP/1.1\r\nno colon here\r\n\r\n"),
        std::string(70'000, 'A') + "\r\n\r\n"}) {
    const auto socket = connect();
    socket.send(garbage);
    EXPECT_EQ(socket.receiveUntil("\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  }
  Client client(base(), ReplyTimeout);
  const auto response = client.fetch({"POST", "/", {}, "still here"});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->Body, "still here");
}

TEST_F(ServerTest, removesATruncatedRequest) {
  support::EventualValue<bool> called;
  serve([&](const Request &, const std::shared_ptr<Responder> &responder) {
    called.set(true);
    responder->respond({});
  });
  {
    const auto socket = connect();
    socket.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    ASSERT_TRUE(
        support::eventually([this] { return Listener->inFlight() == 1; }));
  }
  EXPECT_TRUE(
      support::eventually([this] { return Listener->inFlight() == 0; }));
  EXPECT_FALSE(called.get(std::chrono::milliseconds(0)));
}

TEST_F(ServerTest, servesSeveralRequestsOnOneConnection) {
  serveEcho();
  const auto socket = connect();
  for (int i = 0; i < 3; ++i) {
    socket.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody");
    EXPECT_NE(socket.receiveUntil("body").find("200"), std::string::npos);
  }
}

TEST_F(ServerTest, respondsWith500WhenTheResponderIsDropped) {
  serve([](const Request &, const std::shared_ptr<Responder> &) {});
  Client client(base(), ReplyTimeout);
  const auto response = client.fetch({"GET", "/", {}, ""});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->Status, 500);
}

TEST_F(ServerTest, countsRequestsInFlightExactly) {
  std::mutex guard;
  std::vector<std::shared_ptr<Responder>> held;
  serve([&](const Request &, std::shared_ptr<Responder> responder) {
    const std::lock_guard lock(guard);
    held.push_back(std::move(responder));
  });
  Client client(base(), ReplyTimeout);
  constexpr std::size_t Calls = 5;
  std::vector<std::shared_ptr<Recorder>> recorders;
  for (std::size_t i = 0; i < Calls; ++i) {
    recorders.push_back(std::make_shared<Recorder>());
    client.send({"GET", "/", {}, ""}, record(recorders.back()));
  }
  ASSERT_TRUE(support::eventually([&] {
    const std::lock_guard lock(guard);
    return held.size() == Calls;
  }));
  EXPECT_EQ(Listener->inFlight(), Calls);
  held[0]->respond({});
  held[1]->start(200, {});
  EXPECT_TRUE(
      support::eventually([&] { return Listener->inFlight() == Calls - 1; }));
  held[1]->finish();
  EXPECT_TRUE(
      support::eventually([&] { return Listener->inFlight() == Calls - 2; }));
  held.clear();
  EXPECT_TRUE(support::eventually([&] { return Listener->inFlight() == 0; }));
}

TEST_F(ServerTest, drainSendsConnectionClose) {
  serveEcho();
  auto socket = connect();
  socket.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(socket.receiveUntil("\r\n\r\n").find("Connection: close"),
            std::string::npos);
  Listener->drain();
  socket.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  bool closed = false;
  const auto answer = socket.receiveAll(closed);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(closed);
}

TEST_F(ServerTest, closeAbortsStreams) {
  support::EventualValue<std::shared_ptr<Responder>> held;
  serve([&](const Request &, std::shared_ptr<Responder> responder) {
    responder->start(200, {});
    responder->write("first");
    held.set(std::move(responder));
  });
  Client client(base(), ReplyTimeout);
  auto recorder = std::make_shared<Recorder>();
  client.send({"GET", "/", {}, ""}, record(recorder));
  ASSERT_TRUE(held.get());
  ASSERT_TRUE(recorder->HeadSeen.get());
  Listener->close();
  const auto seen = recorder->Ended.get();
  ASSERT_TRUE(seen);
  EXPECT_TRUE(seen->Error);
  EXPECT_EQ(Listener->inFlight(), 0U);
}

TEST_F(ServerTest, closesWhileRequestsAreUnanswered) {
  support::EventualValue<std::shared_ptr<Responder>> held;
  serve([&](const Request &, std::shared_ptr<Responder> responder) {
    held.set(std::move(responder));
  });
  Client client(base(), ReplyTimeout);
  auto recorder = std::make_shared<Recorder>();
  client.send({"GET", "/", {}, ""}, record(recorder));
  const auto responder = held.get();
  ASSERT_TRUE(responder);
  Listener->close();
  (*responder)->start(200, {});
  (*responder)->write("too late");
  (*responder)->finish();
  EXPECT_TRUE(recorder->Ended.get());
}

TEST_F(ServerTest, failsToOpenAPortInUse) {
  serveEcho();
  ServerSettings settings;
  settings.Address = support::loopbackAddress();
  settings.Port = Port;
  Server second(settings, [](const Request &, const auto &) {});
  EXPECT_TRUE(second.open());
}

TEST_F(ServerTest, dropsFieldsThatWouldCorruptTheMessage) {
  serve([](const Request &, const std::shared_ptr<Responder> &responder) {
    responder->respond({200,
                        {{"X-Bad", "a\r\nInjected: 1"},
                         {"Transfer-Encoding", "chunked"},
                         {"Content-Length", "999"},
                         {"X-Good", "1"}},
                        "body"});
  });
  Client client(base(), ReplyTimeout);
  const auto response = client.fetch({"GET", "/", {}, ""});
  ASSERT_TRUE(response);
  EXPECT_EQ(response->Body, "body");
  EXPECT_EQ(findHeader(response->Fields, "Injected"), std::nullopt);
  EXPECT_EQ(findHeader(response->Fields, "X-Good"), "1");
  EXPECT_EQ(findHeader(response->Fields, "Content-Length"), "4");
}

} // namespace
