#include "cowslipridge/entry/BillHolder.hpp"

namespace cowslipridge::entry {

void BillHolder::hold(HeldBill bill) {
  if (Bills.size() >= MaxBills)
    return;
  auto key = std::make_pair(bill.Request, bill.Line);
  Bills.insert_or_assign(std::move(key), std::move(bill));
}

void BillHolder::onStored(const core::InstanceId &sidecar,
                          const std::vector<core::RequestId> &requests) {
  for (const core::RequestId &request : requests) {
    auto it = Bills.lower_bound({request, {}});
    while (it != Bills.end() && it->first.first == request) {
      if (it->second.Sidecar == sidecar)
        it = Bills.erase(it);
      else
        ++it;
    }
  }
}

std::vector<HeldBill> BillHolder::due(
    core::Millis now,
    const std::function<bool(const core::InstanceId &)> &isLive) const {
  std::vector<HeldBill> bills;
  for (const auto &[key, bill] : Bills) {
    const bool timedOut = now - bill.HandedOverAt >= ReceiptTimeout;
    if (timedOut || bill.Sidecar.empty() || !isLive(bill.Sidecar))
      bills.push_back(bill);
  }
  return bills;
}

void BillHolder::onDelivered(const HeldBill &bill,
                             const core::InstanceId &sidecar,
                             core::Millis now) {
  const auto it = Bills.find({bill.Request, bill.Line});
  if (it == Bills.end())
    return;
  it->second.Sidecar = sidecar;
  it->second.HandedOverAt = now;
}

} // namespace cowslipridge::entry
