#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/ledger/Records.hpp"

#include <functional>
#include <map>
#include <vector>

namespace cowslipridge::ledger {

/// The bills of one service, one per request.
struct BillReport {
  std::map<core::RequestId, Bill> Bills;
  /// Requests whose outcome is unknown: claimed by an incarnation that ended
  /// before it recorded an outcome, or billed as Outcome::Unknown without a
  /// later bill that says otherwise.
  std::vector<Bill> Unsettled;
  /// Journal keys that could not be decoded. The report is incomplete unless
  /// this is empty.
  std::vector<std::string> DamagedKeys;
};

/// Reads every journal of `service` and merges the bills by request. Writes
/// nothing, so it may run at any time. Does not block; `done` is called once,
/// on any thread.
void readBills(backing::Store &store, const core::ServiceId &service,
               std::function<void(core::Result<BillReport>)> done);

} // namespace cowslipridge::ledger
