#pragma once

#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/http1/Server.hpp"
#include "standins/platform/MetadataStore.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::standins::platform {

/// Faults that the store currently simulates.
struct StoreFaults {
  bool Unavailable = false;      ///< responds with 503 and executes no call
  bool Unresponsive = false;     ///< accepts calls and never responds
  bool LoseWriteReplies = false; ///< executes writes, then drops the connection
  core::Millis Delay;            ///< before each call is handled
  /// Calls beyond this rate get status 429; 0 means no limit.
  std::size_t CallsPerSecond = 0;
};

/// Serves a metadata store over HTTP.
class MetadataServer {
public:
  MetadataServer(boost::asio::io_context &loop, const core::Clock &clock);

  void listen(const http1::Endpoint &address);
  MetadataStore &store() { return Store; }
  void setFaults(const StoreFaults &faults) { Faults = faults; }
  /// Resets the connections of all waiting watches and returns their number.
  std::size_t cutWatches();
  /// Sets whether responses name the era of the store.
  void setSendsEra(bool sends) { SendsEra = sends; }
  /// Returns the number of calls received since the start.
  [[nodiscard]] std::size_t calls() const { return Calls; }
  /// Returns how many of them were rejected by the rate limit.
  [[nodiscard]] std::size_t rateLimitedCalls() const {
    return RateLimitedCalls;
  }
  /// Returns the number of listing pages sent.
  [[nodiscard]] std::size_t listedPages() const { return ListedPages; }

private:
  struct Watch {
    std::shared_ptr<http1::Exchange> Exchange;
    std::string Prefix;
    std::int64_t After = 0;
    core::Millis ExpiresAt;
  };

  struct DelayedCall {
    std::shared_ptr<http1::Exchange> Exchange;
    core::Millis DueAt;
  };

  void respondJson(http1::Exchange &exchange, int status,
                   const nlohmann::json &body) const;
  /// Handles a call that no fault prevents.
  void admit(const std::shared_ptr<http1::Exchange> &exchange);
  bool exceedsRateLimit();
  void onCall(const std::shared_ptr<http1::Exchange> &exchange);
  void handle(const std::shared_ptr<http1::Exchange> &exchange);
  void transact(http1::Exchange &exchange);
  void scheduleTick();
  void tick();
  bool respondToWatch(const Watch &watch, bool hasTimedOut);

  const core::Clock &Clock;
  MetadataStore Store;
  StoreFaults Faults;
  bool SendsEra = true;
  std::size_t Calls = 0;
  std::size_t RateLimitedCalls = 0;
  std::size_t ListedPages = 0;
  std::deque<core::Millis> RecentCalls; ///< start times within the last second
  std::vector<Watch> Watches;
  std::deque<DelayedCall> DelayedCalls; ///< in order of arrival
  http1::Server Server;
  http1::LoopTimer Ticker;
};

} // namespace cowslipridge::standins::platform
