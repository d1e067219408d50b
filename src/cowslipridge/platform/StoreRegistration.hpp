#pragma once

#include "cowslipridge/platform/MonitoredStoreClient.hpp"

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace cowslipridge::platform {

/// Registers one entry in the store and renews its lease. The renewals also
/// detect an outage of the store within about a second.
class StoreRegistration {
public:
  StoreRegistration(boost::asio::io_context &loop, MonitoredStoreClient &store);

  void start(std::string key, std::string value);
  /// Revokes the lease, with which the store deletes the entry.
  void deregister();

private:
  void scheduleRenewal();
  void renew();
  void onRenewed(const StoreReply &reply);
  void requestLease();
  void writeEntry();

  MonitoredStoreClient &Store;
  boost::asio::steady_timer Timer;
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
  bool Deregistered = false;
};

} // namespace cowslipridge::platform
