#include "cowslipridge/sidecar/BillReceipts.hpp"

namespace cowslipridge::sidecar {

void BillReceipts::add(const core::InstanceId &entry,
                       const core::RequestId &request) {
  std::deque<core::RequestId> &queue = Pending[entry];
  queue.push_back(request);
  if (queue.size() > MaxPendingPerEntry)
    queue.pop_front();
}

std::vector<core::RequestId> BillReceipts::take(const core::InstanceId &entry,
                                                std::size_t limit) {
  std::vector<core::RequestId> receipts;
  const auto it = Pending.find(entry);
  if (it == Pending.end())
    return receipts;
  while (!it->second.empty() && receipts.size() < limit) {
    receipts.push_back(std::move(it->second.front()));
    it->second.pop_front();
  }
  if (it->second.empty())
    Pending.erase(it);
  return receipts;
}

} // namespace cowslipridge::sidecar
