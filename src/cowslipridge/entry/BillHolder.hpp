#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cowslipridge::entry {

/// A bill that no journal is known to have yet.
struct HeldBill {
  core::RequestId Request;
  core::ServiceId Service;
  std::string Line;         ///< as ledger::encodeBill() writes it
  core::InstanceId Sidecar; ///< that was to store it; empty: none
  core::Millis Since;       ///< monotonic; when that sidecar had it
};

/// Holds a copy of each bill until a sidecar says that it is stored, so that a
/// bill survives the sidecar that made it. Bills are keyed by request: storing
/// one twice bills it once.
class BillHolder {
public:
  /// Bills held at most; the sidecars still hold those that are left out.
  static constexpr std::size_t MaxBills = 20'000;
  /// Deliver again when no receipt came within this time.
  static constexpr core::Millis ReceiptTimeout{30'000};

  void hold(HeldBill bill);
  /// `sidecar` has stored its bills of these requests.
  void onStored(const core::InstanceId &sidecar,
                const std::vector<core::RequestId> &requests);
  /// Bills to be delivered now: their sidecar is not `isLive`, or gave no
  /// receipt in time.
  [[nodiscard]] std::vector<HeldBill>
  due(core::Millis now,
      const std::function<bool(const core::InstanceId &)> &isLive) const;
  /// Another sidecar took a bill in.
  void onDelivered(const HeldBill &bill, const core::InstanceId &sidecar,
                   core::Millis now);
  [[nodiscard]] std::size_t size() const { return Bills.size(); }

private:
  // A request has a bill of each part, each with its own text.
  std::map<std::pair<core::RequestId, std::string>, HeldBill> Bills;
};

} // namespace cowslipridge::entry
