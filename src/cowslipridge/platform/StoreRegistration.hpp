#pragma once

#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/limits/RetryWindow.hpp"
#include "cowslipridge/platform/MonitoredStoreClient.hpp"

#include <functional>
#include <optional>
#include <string>

namespace cowslipridge::platform {

/// Registers one entry in the store and renews its lease. The renewals also
/// detect an outage of the store within about a second.
class StoreRegistration {
public:
  /// Receives the time in which the entry is certain to exist, whenever it
  /// changes.
  using Listener = std::function<void(const limits::Registration &)>;

  StoreRegistration(boost::asio::io_context &loop, MonitoredStoreClient &store);

  void setListener(Listener listener) { OnChange = std::move(listener); }
  void start(std::string key, std::string value);
  /// Requests a new lease and writes the entry again, because the store has
  /// lost them. The id of the lease may belong to another gateway since.
  void registerAgain();
  /// Revokes the lease, with which the store deletes the entry.
  void deregister();

private:
  void scheduleRenewal();
  void renew();
  void requestLease();
  void onGranted(const StoreReply &reply);
  void writeEntry();
  /// Handles that the lease was granted or renewed by a call that was sent at
  /// this time.
  void confirm(core::Millis sentAt);
  /// Handles that the entry may be gone.
  void invalidate();
  /// Sends a call whose response is ignored once registerAgain() or
  /// deregister() was called.
  void send(StoreCallKind kind, const StoreCall &call,
            StoreClient::Callback callback);

  MonitoredStoreClient &Store;
  http1::LoopTimer Timer;
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
  StoreEra LeaseEra = 0;
  unsigned Attempt = 0; ///< number of calls to registerAgain() and deregister()
  bool Deregistered = false;
  Listener OnChange;
  core::Millis GrantSentAt;
  std::optional<core::Millis> RegisteredAt; ///< unset: there may be no entry
};

} // namespace cowslipridge::platform
