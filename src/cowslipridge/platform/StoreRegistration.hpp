#pragma once

#include "cowslipridge/platform/StoreContact.hpp"

#include <boost/asio/steady_timer.hpp>

#include <string>

namespace cowslipridge::platform {

/// Keeps one entry of the store alive under a lease. Its renewals also show
/// within about a second that the store is away.
class StoreRegistration {
public:
  StoreRegistration(boost::asio::io_context &loop, StoreContact &store);

  void start(std::string key, std::string value);
  /// Ends the lease.
  void deregister();

private:
  void renewLater();
  void renew();
  void onRenewed(const StoreReply &reply);
  void grant();
  void write();

  StoreContact &Store;
  boost::asio::steady_timer Timer;
  std::string Key;
  std::string Value;
  LeaseId Lease = 0;
  bool Leaving = false;
};

} // namespace cowslipridge::platform
