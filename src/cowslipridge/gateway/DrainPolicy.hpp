#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/Placement.hpp"

#include <cstddef>
#include <optional>

namespace cowslipridge::gateway {

/// Decides how a gateway drains after a stop signal.
///
/// When gateways are restarted in turn, faster than their streams end, all of
/// them drain at the same time and callers find no other gateway. A draining
/// gateway therefore keeps accepting requests that are sure to end in time, and
/// rejects only those that might be cut off.
class DrainPolicy {
public:
  explicit DrainPolicy(core::Millis gracePeriod) : GracePeriod(gracePeriod) {}

  /// Starts draining at the first stop signal. Later calls have no effect.
  void begin(core::Millis now);
  [[nodiscard]] bool hasBegun() const { return BeganAt.has_value(); }
  /// Returns whether a request that arrives now is accepted.
  [[nodiscard]] bool accepts(const RequestContext &facts,
                             core::Millis now) const;
  /// Returns whether connections without a request in flight are closed.
  [[nodiscard]] bool closesIdle(core::Millis now) const;
  /// Returns whether the requests in flight get their final answers now: their
  /// runners have no time left.
  [[nodiscard]] bool endsRequests(core::Millis now) const;
  /// Returns whether the process exits now, given the number of connections
  /// with an unfinished request or response.
  [[nodiscard]] bool isOver(std::size_t unfinished, core::Millis now) const;

  /// Returns the time after which the process exits at the latest; nothing
  /// before draining begins.
  [[nodiscard]] std::optional<core::Millis> exitsWithin(core::Millis now) const;

private:
  /// Returns the time from the stop signal until the process exits.
  [[nodiscard]] core::Millis exitDelay() const;
  /// Returns `wanted`, or less if the grace period is short.
  [[nodiscard]] core::Millis atMost(core::Millis wanted) const;
  [[nodiscard]] core::Millis end() const;
  [[nodiscard]] core::Millis requestsEnd() const;

  core::Millis GracePeriod;
  std::optional<core::Millis> BeganAt;
};

} // namespace cowslipridge::gateway
