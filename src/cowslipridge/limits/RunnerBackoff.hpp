#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <map>
#include <optional>

namespace cowslipridge::limits {

/// A runner rejected a request and named a time for which it wants no further
/// ones.
struct BackoffRequest {
  core::RunnerId Runner;
  core::Millis Duration;
  friend auto operator<=>(const BackoffRequest &,
                          const BackoffRequest &) = default;
};

/// Tracks which runners want no requests from this gateway for some time.
class RunnerBackoff {
public:
  /// Upper bound on a backoff, against unreasonable values.
  static constexpr core::Millis MaxDuration{60'000};

  /// Handles a rejection that asks for a backoff. Returns the backoff if it
  /// begins with this rejection; one that only extends it returns nothing.
  std::optional<BackoffRequest> onRejected(const core::RunnerId &runner,
                                           core::Millis duration,
                                           core::Millis now);
  void removeRunner(const core::RunnerId &runner) { Until.erase(runner); }
  /// Returns how long the runner still wants no requests; zero if it takes
  /// them.
  [[nodiscard]] core::Millis remaining(const core::RunnerId &runner,
                                       core::Millis now) const;

private:
  std::map<core::RunnerId, core::Millis> Until;
};

} // namespace cowslipridge::limits
