#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "store_economy/CountingStore.hpp"

#include <vector>

namespace cowslipridge::store_economy {

struct FleetPlan {
  unsigned Ledgers = 10;
  unsigned LedgersPerService = 40;
  core::Millis MinInterval{2};
  core::Millis MaxInterval{1'000};
  std::size_t RollBytes = 4'096;
  unsigned WritesPerSecond = 250; ///< budget of the entire fleet
  double BillsPerSecond = 6.3;    ///< of each ledger
  double ClaimsPerSecond = 0.1;   ///< of each ledger
  core::Millis WarmUp{15'000};
  core::Millis Length{30'000};
  std::uint64_t Seed = 1;
};

struct FleetResult {
  StoreCounts Counts;
  std::vector<double> ClaimDelaysMs;
  std::vector<double> BillDelaysMs;
  std::uint64_t Refused = 0;              ///< claims that were rejected
  std::uint64_t LedgersWithoutShards = 0; ///< at the end of the run
};

/// Simulates the journals of all ledgers of a fleet on one store.
FleetResult runFleet(const FleetPlan &plan);

} // namespace cowslipridge::store_economy
