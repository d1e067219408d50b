#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
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

/// Tracks which runners want no requests from this gateway for some time. A
/// backoff holds for one incarnation of a runner, which its start time
/// identifies, whether it is registered all the while or not.
class RunnerBackoff {
public:
  /// Upper bound on a backoff, against unreasonable values.
  static constexpr core::Millis MaxDuration{60'000};

  /// Handles a rejection that asks for a backoff. Returns the backoff if it
  /// begins with this rejection; one that only extends it returns nothing.
  std::optional<BackoffRequest> onRejected(const core::RunnerId &runner,
                                           core::Millis startedAt,
                                           core::Millis duration,
                                           core::Millis now);
  /// Returns how long the runner still wants no requests; zero if it takes
  /// them.
  [[nodiscard]] core::Millis remaining(const core::RunnerId &runner,
                                       core::Millis startedAt,
                                       core::Millis now) const;
  [[nodiscard]] std::size_t size() const { return Backoffs.size(); }
  /// Erases backoffs that are over.
  void tick(core::Millis now);

private:
  struct Backoff {
    core::Millis StartedAt; ///< of the runner
    core::Millis Until;
  };

  std::map<core::RunnerId, Backoff> Backoffs;
};

} // namespace cowslipridge::limits
