#pragma once

#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/StoreAvailability.hpp"
#include "cowslipridge/platform/StoreClient.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::platform {

/// Identifies a call in log lines and in the reason of an outage.
enum class StoreCallKind {
  List,
  Watch,
  Grant,
  Register,
  Renew,
  Release,
  Quarantine,
  Advance
};

/// Returns whether the store processed a call: it carried the call out, or
/// reported why it can't be carried out.
bool isProcessed(const StoreReply &reply);
/// Returns whether the store rejected a call because of its rate limit.
bool isRateLimited(const StoreReply &reply);

/// Sends all calls of this gateway to the store, updates the metrics of store
/// calls, and detects when the store becomes unavailable and available again,
/// and when it was restored from an older copy.
class MonitoredStoreClient {
public:
  struct Listeners {
    std::function<void(const std::string &reason)> OnUnavailable;
    std::function<void()> OnAvailable;
    /// Called when a call succeeds after one or more failed, the last of them
    /// at `lastFailureAt`. Connections opened before may be unresponsive.
    std::function<void(core::Millis lastFailureAt)> OnSuccessAfterFailure;
    /// Called when a response shows that the store was restored from an older
    /// copy, before the callback of that call.
    std::function<void()> OnRestored;
  };

  MonitoredStoreClient(boost::asio::io_context &loop, const core::Clock &clock,
                       const config::SocketAddress &address,
                       observe::Metrics &metrics);

  void setListeners(Listeners listeners) { Callbacks = std::move(listeners); }
  std::shared_ptr<http1::Call> send(StoreCallKind kind, const StoreCall &call,
                                    core::Millis timeout,
                                    StoreClient::Callback callback);

  [[nodiscard]] core::Millis now() const { return Clock.monotonic(); }
  /// Returns whether any response was received since the start, including
  /// rejections.
  [[nodiscard]] bool hasStoreResponded() const { return HasReplied; }
  /// Returns the latest era that any response named; 0 if none did.
  [[nodiscard]] StoreEra era() const { return Era; }

private:
  void recordReply(StoreCallKind kind, const StoreReply &reply);
  void recordEra(StoreReply &reply);

  const core::Clock &Clock;
  StoreClient Store;
  observe::Metrics &Metrics;
  Listeners Callbacks;
  StoreEra Era = 0;
  bool HasReplied = false;
  StoreAvailability Availability;
  std::optional<core::Millis> LastFailureAt; ///< unset after a success
};

} // namespace cowslipridge::platform
