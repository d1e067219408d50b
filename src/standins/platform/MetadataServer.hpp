#pragma once

#include "cowslipridge/http1/Server.hpp"
#include "standins/platform/MetadataStore.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::standins::platform {

/// How the store misbehaves at the moment.
struct StoreFaults {
  bool Busy = false;       ///< answers 503 and does nothing
  bool Silent = false;     ///< takes calls and never answers
  bool LoseWrites = false; ///< carries writes out and cuts the connection
  core::Millis Delay;      ///< before each answer
  /// Calls beyond this rate are answered 429; 0: no limit.
  std::size_t CallsPerSecond = 0;
};

/// Serves a metadata store over HTTP.
class MetadataServer {
public:
  MetadataServer(boost::asio::io_context &loop, const core::Clock &clock);

  void listen(const http1::Endpoint &address);
  MetadataStore &store() { return Store; }
  void setFaults(const StoreFaults &faults) { Faults = faults; }
  /// Calls taken since the start.
  [[nodiscard]] std::size_t calls() const { return Calls; }
  /// Of these, refused because there were too many.
  [[nodiscard]] std::size_t refused() const { return Refused; }
  /// Pages of listings given out.
  [[nodiscard]] std::size_t pages() const { return Pages; }

private:
  struct Watch {
    std::shared_ptr<http1::Exchange> Exchange;
    std::string Prefix;
    std::int64_t After = 0;
    core::Millis EndsAt;
  };

  bool isOverRate();
  void onCall(const std::shared_ptr<http1::Exchange> &exchange);
  void carryOut(const std::shared_ptr<http1::Exchange> &exchange);
  void transact(http1::Exchange &exchange);
  void tickLater();
  void tick();
  bool answerWatch(const Watch &watch, bool isOver);

  const core::Clock &Clock;
  MetadataStore Store;
  StoreFaults Faults;
  std::size_t Calls = 0;
  std::size_t Refused = 0;
  std::size_t Pages = 0;
  std::deque<core::Millis> Recent; ///< calls within the last second
  std::vector<Watch> Watches;
  http1::Server Server;
  boost::asio::steady_timer Ticker;
};

} // namespace cowslipridge::standins::platform
