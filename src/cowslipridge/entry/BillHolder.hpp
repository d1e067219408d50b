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

/// A bill that is not yet known to be stored in a journal.
struct HeldBill {
  core::RequestId Request;
  core::ServiceId Service;
  std::string Line;          ///< as ledger::encodeBill() writes it
  core::InstanceId Sidecar;  ///< responsible for storing it; empty: none
  core::Millis HandedOverAt; ///< monotonic; when that sidecar got it
};

/// Holds a copy of each bill until a sidecar confirms that it is stored, so
/// that the bill is not lost if the sidecar that made it fails. Bills are keyed
/// by request: a bill that is stored twice counts once.
class BillHolder {
public:
  /// Maximum number of bills held. Bills over this limit are held only by their
  /// sidecars.
  static constexpr std::size_t MaxBills = 20'000;
  /// A bill without a receipt within this time is delivered again.
  static constexpr core::Millis ReceiptTimeout{30'000};

  void hold(HeldBill bill);
  /// Drops the bills of these requests that `sidecar` has stored.
  void onStored(const core::InstanceId &sidecar,
                const std::vector<core::RequestId> &requests);
  /// Returns the bills to deliver now: those without a sidecar, whose sidecar
  /// is not `isLive`, or whose sidecar sent no receipt in time.
  [[nodiscard]] std::vector<HeldBill>
  due(core::Millis now,
      const std::function<bool(const core::InstanceId &)> &isLive) const;
  /// Records that another sidecar accepted a bill.
  void onDelivered(const HeldBill &bill, const core::InstanceId &sidecar,
                   core::Millis now);
  [[nodiscard]] std::size_t size() const { return Bills.size(); }

private:
  // A request has one bill for each of its parts (draft, better), so the bill
  // line is part of the key.
  std::map<std::pair<core::RequestId, std::string>, HeldBill> Bills;
};

} // namespace cowslipridge::entry
