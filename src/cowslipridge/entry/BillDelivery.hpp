#pragma once

#include "cowslipridge/entry/EntryContext.hpp"

#include <memory>

namespace cowslipridge::entry {

/// Hands bills whose sidecar is gone to another sidecar of the same service.
/// Belongs to the loop's thread.
class BillDelivery final : public std::enable_shared_from_this<BillDelivery> {
public:
  explicit BillDelivery(EntryContext &context) : Context(context) {}
  void startTicking();

private:
  void tick();
  void deliver(const core::ServiceId &service, std::vector<HeldBill> bills);

  EntryContext &Context;
  bool Delivering = false;
};

} // namespace cowslipridge::entry
