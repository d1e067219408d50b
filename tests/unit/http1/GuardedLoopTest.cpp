#include "cowslipridge/http1/GuardedLoop.hpp"

#include "unit/http1/ServerFixture.hpp"

#include <boost/asio/post.hpp>

#include <stdexcept>

using namespace cowslipridge;
using namespace cowslipridge::http1;

namespace {

// Guards against an unexpected error in the handler of one request that stops
// the process with all its other requests.
TEST(GuardedLoopTest, aHandlerThatThrowsDoesNotStopTheOthers) {
  boost::asio::io_context loop(1);
  std::vector<std::string> errors;
  bool reached = false;
  boost::asio::post(loop, [] { throw std::length_error("absurd"); });
  boost::asio::post(loop, [] { throw std::bad_alloc(); });
  boost::asio::post(loop, [&] { reached = true; });
  runGuarded(loop,
             [&](const std::exception &it) { errors.emplace_back(it.what()); });
  EXPECT_TRUE(reached);
  EXPECT_EQ(errors, (std::vector<std::string>{"absurd", "std::bad_alloc"}));
}

TEST(GuardedLoopTest, stopsWhenTheLoopIsStopped) {
  boost::asio::io_context loop(1);
  const auto work = boost::asio::make_work_guard(loop);
  boost::asio::post(loop, [&] { loop.stop(); });
  runGuarded(loop, [](const std::exception &) { FAIL(); });
}

/// A server whose handler throws for each request.
class ThrowingHandlerTest : public support::LoopFixture {};

// Guards against a request that is never answered and keeps a drain waiting.
TEST_F(ThrowingHandlerTest, theRequestOfAHandlerThatThrowsIsAnswered) {
  Server server(Loop, Clock, [](const std::shared_ptr<Exchange> &) {
    throw std::runtime_error("unexpected");
  });
  const Endpoint address = ownAddress();
  server.listen(address);
  Client client(Loop, Clock, {});
  const auto events = std::make_shared<support::CallRecorder>();
  CallSpec spec;
  spec.Server = address;
  spec.Bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  spec.Timeout = core::Millis(5'000);
  const auto call = client.call(std::move(spec), events);
  int errors = 0;
  runUntil([&] {
    try {
      Loop.restart();
      Loop.run_for(std::chrono::milliseconds(5));
    } catch (const std::runtime_error &) {
      ++errors;
    }
    return events->isFinished();
  });
  EXPECT_EQ(errors, 1);
  EXPECT_EQ(events->Status, 500);
  EXPECT_EQ(server.inFlight(), 0U);
}

} // namespace
