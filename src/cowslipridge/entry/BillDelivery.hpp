#pragma once

#include "cowslipridge/entry/EntryContext.hpp"

#include <memory>

namespace cowslipridge::entry {

/// Delivers the bills that are due in the BillHolder, such as those of failed
/// sidecars, to a reachable sidecar of the same service. Used only on the
/// loop's thread.
class BillDelivery final : public std::enable_shared_from_this<BillDelivery> {
public:
  explicit BillDelivery(EntryContext &context) : Context(context) {}
  void startTicking();

private:
  void tick();
  void deliver(const core::ServiceId &service, std::vector<HeldBill> bills);

  EntryContext &Context;
  bool DeliveryInProgress = false;
};

} // namespace cowslipridge::entry
