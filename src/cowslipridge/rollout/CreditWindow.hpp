#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace cowslipridge::rollout {

/// Tracks the exposure credits that ungraded requests of one trial version hold
/// at one sidecar.
///
/// A request takes one credit, and its grade releases it. A grade that is not
/// received within GradeTimeout counts as lost. Each later grade of another
/// request releases one lost credit too, so that exposure stays within a
/// multiple of the received grades. While no grade is received at all, one lost
/// credit is released after GradeTimeout, the next after twice as long, and so
/// on: the number of released credits grows with the logarithm of the time
/// without grades.
class CreditWindow {
public:
  /// Returns the number of credits in use, lost ones included.
  [[nodiscard]] std::size_t outstanding() const {
    return Ungraded.size() + Lost;
  }
  /// Takes a credit for the request.
  void onStart(const core::RequestId &request, core::Millis now);
  /// Releases the credit of a request that never ran.
  void onNotRun(const core::RequestId &request);
  /// Releases the credit of a graded request, and one lost credit with it.
  /// Returns false for a request that holds no credit.
  bool onGrade(const core::RequestId &request, core::Millis now);
  /// Detects lost grades and releases a lost credit that is due.
  void advance(core::Millis now);

private:
  void resetReleaseInterval(core::Millis now);

  /// Start times of ungraded requests.
  std::map<core::RequestId, core::Millis> Ungraded;
  std::size_t Lost = 0; ///< credits of requests whose grades are lost
  std::optional<core::Millis> NextRelease;
  core::Millis ReleaseInterval;
};

} // namespace cowslipridge::rollout
