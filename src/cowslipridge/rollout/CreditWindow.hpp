#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace cowslipridge::rollout {

/// Requests of one trial version at one sidecar that are not graded yet, and
/// how many there may be.
///
/// A request takes one credit, and its grade gives it back. A grade that does
/// not come for GradeTimeout is taken for lost; a lost credit comes back with
/// a later grade of another request, one for one, so that exposure stays
/// within a multiple of the grades seen. While no grade comes at all, one lost
/// credit comes back after GradeTimeout, the next after twice as long, and so
/// on: the number grows with the logarithm of the silence.
class CreditWindow {
public:
  [[nodiscard]] std::size_t taken() const { return Open.size() + Lost; }
  /// Takes a credit.
  void onStart(const core::RequestId &request, core::Millis now);
  /// Gives the credit back; the request never ran.
  void onNotRun(const core::RequestId &request);
  /// Gives the credit back, and a lost one with it. False for a request that
  /// holds no credit.
  bool onGrade(const core::RequestId &request, core::Millis now);
  /// Notices lost grades and returns credits that are due.
  void advance(core::Millis now);

private:
  void resetSilence(core::Millis now);

  std::map<core::RequestId, core::Millis> Open; ///< started at
  std::size_t Lost = 0;
  std::optional<core::Millis> NextReturn;
  core::Millis ReturnInterval;
};

} // namespace cowslipridge::rollout
