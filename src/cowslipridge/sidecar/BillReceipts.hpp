#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace cowslipridge::sidecar {

/// Queues receipts that notify entries which of their requests' bills are in
/// the journal. If a receipt is lost, the entry delivers the bill again, which
/// is harmless.
class BillReceipts {
public:
  static constexpr std::size_t MaxPendingPerEntry = 4'096;

  /// Queues a receipt for a request of `entry` whose bill is stored. Drops the
  /// oldest receipt if the queue is full.
  void add(const core::InstanceId &entry, const core::RequestId &request);
  /// Removes and returns up to `limit` receipts for an entry, oldest first.
  std::vector<core::RequestId> take(const core::InstanceId &entry,
                                    std::size_t limit);

private:
  std::map<core::InstanceId, std::deque<core::RequestId>> Pending;
};

} // namespace cowslipridge::sidecar
