#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace cowslipridge::sidecar {

/// Tells entries which of their requests' bills are in the journal. A receipt
/// that is lost makes the entry deliver the bill again, which is harmless.
class BillReceipts {
public:
  static constexpr std::size_t MaxWaitingPerEntry = 4'096;

  /// The bill of a request that `entry` sent is stored.
  void add(const core::InstanceId &entry, const core::RequestId &request);
  /// The next receipts for an entry.
  std::vector<core::RequestId> take(const core::InstanceId &entry,
                                    std::size_t limit);

private:
  std::map<core::InstanceId, std::deque<core::RequestId>> Waiting;
};

} // namespace cowslipridge::sidecar
