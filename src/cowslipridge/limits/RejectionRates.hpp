#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <map>

namespace cowslipridge::limits {

/// Estimates how likely a runner is to reject a request, from the outcomes of
/// this gateway's recent attempts.
class RejectionRates {
public:
  void onRejected(const core::RunnerId &runner, core::Millis now) {
    observe(runner, 1, now);
  }
  void onAccepted(const core::RunnerId &runner, core::Millis now);
  void removeRunner(const core::RunnerId &runner) { Rates.erase(runner); }
  /// Returns the probability of a rejection; zero without a recent one.
  [[nodiscard]] double rate(const core::RunnerId &runner,
                            core::Millis now) const;

private:
  struct Rate {
    double Mean = 0; ///< as of UpdatedAt
    core::Millis UpdatedAt;
  };

  void observe(const core::RunnerId &runner, double rejected, core::Millis now);

  std::map<core::RunnerId, Rate> Rates;
};

} // namespace cowslipridge::limits
