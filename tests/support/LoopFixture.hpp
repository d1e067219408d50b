#pragma once

#include "support/Loopback.hpp"

#include "cowslipridge/core/Chrono.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/Server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace cowslipridge::support {

/// Provides an event loop and a clock, and runs the loop until a condition
/// holds.
class LoopFixture : public testing::Test {
protected:
  using Tcp = boost::asio::ip::tcp;

  void runUntil(const std::function<bool()> &condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      ASSERT_LT(std::chrono::steady_clock::now(), end)
          << "timed out waiting for the condition";
      Loop.restart();
      Loop.run_for(std::chrono::milliseconds(5));
    }
  }

  /// Lets time pass in which the loop handles nothing, as when the process is
  /// not scheduled. Afterwards all that has happened meanwhile is due at once.
  static void stall(core::Millis length) {
    std::this_thread::sleep_for(core::toChrono(length));
  }

  /// Returns an address that no other test process uses.
  static Tcp::endpoint ownAddress() {
    return {boost::asio::ip::make_address(loopbackAddress()), nextPort()};
  }

  static Tcp::endpoint anyPort() {
    return {boost::asio::ip::make_address("127.0.0.1"), 0};
  }

  boost::asio::io_context Loop{1};
  cowslipridge::core::SystemClock Clock;
};

/// Records the events of one call.
class CallRecorder final : public cowslipridge::http1::CallEvents {
public:
  void onHead(const cowslipridge::http1::ResponseHead &head) override {
    Head = head;
    Status = head.Status;
  }
  void onData(std::string_view data) override { Body += data; }
  void onEnd() override { Ended = true; }
  void onFailure(cowslipridge::http1::CallFailure failure) override {
    Failure = failure;
  }
  [[nodiscard]] bool isFinished() const { return Ended || Failure.has_value(); }

  cowslipridge::http1::ResponseHead Head;
  int Status = 0;
  std::string Body;
  bool Ended = false;
  std::optional<cowslipridge::http1::CallFailure> Failure;
};

} // namespace cowslipridge::support
