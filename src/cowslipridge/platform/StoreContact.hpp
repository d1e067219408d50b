#pragma once

#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/platform/StoreClient.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::platform {

/// What a call is, in logs and reasons.
enum class StoreCallName {
  List,
  Watch,
  Grant,
  Register,
  Renew,
  Release,
  Advance
};

/// Whether the store carried a call out, or found that it can't be.
bool isAnswered(const StoreReply &reply);
/// Whether the store refused a call because there are too many.
bool isBusy(const StoreReply &reply);

/// Sends all calls of this gateway to the store, counts them, and notes when
/// the store is lost and when it is back.
class StoreContact {
public:
  struct Listeners {
    std::function<void(const std::string &reason)> Lost;
    std::function<void()> Returned;
    /// A call is answered again after one or more were not, the last of them
    /// at `failedAt`: connections of before may have fallen silent.
    std::function<void(core::Millis failedAt)> Recovered;
  };

  StoreContact(boost::asio::io_context &loop, const core::Clock &clock,
               const config::SocketAddress &address, observe::Metrics &counts);

  void setListeners(Listeners listeners) { Hears = std::move(listeners); }
  std::shared_ptr<http1::Call> send(StoreCallName name, const StoreCall &call,
                                    core::Millis timeout,
                                    StoreClient::Done done);

  [[nodiscard]] core::Millis now() const { return Clock.monotonic(); }
  /// Whether any answer came since the start, refusals too.
  [[nodiscard]] bool hasStoreResponded() const { return Heard; }

private:
  void note(StoreCallName name, const StoreReply &reply);

  const core::Clock &Clock;
  StoreClient Store;
  observe::Metrics &Counts;
  Listeners Hears;
  bool Heard = false;
  bool Away = false;
  std::optional<core::Millis> FailedAt; ///< the last call was not answered
  unsigned BusyInRow = 0;
};

} // namespace cowslipridge::platform
