#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/Placement.hpp"

#include <cstddef>
#include <optional>

namespace cowslipridge::gateway {

/// How a gateway leaves after it was told to stop.
///
/// The pattern it answers: gateways are restarted in turn, faster than their
/// streams end, so that all of them leave at the same time and callers find no
/// other. A leaving gateway therefore goes on with what is sure to end in time,
/// and refuses only what may be cut.
class DrainPolicy {
public:
  explicit DrainPolicy(core::Millis gracePeriod) : GracePeriod(gracePeriod) {}

  /// The signal to stop came. Later ones change nothing.
  void begin(core::Millis now);
  [[nodiscard]] bool hasBegun() const { return Began.has_value(); }
  /// Whether a request that arrives now is taken.
  [[nodiscard]] bool takes(const RequestContext &facts, core::Millis now) const;
  /// Whether connections without a request are closed.
  [[nodiscard]] bool closesIdle(core::Millis now) const;
  /// Whether the process ends, with so many requests under way.
  [[nodiscard]] bool isOver(std::size_t inFlight, core::Millis now) const;

  /// How long the process goes on at most; nothing while it does not leave.
  [[nodiscard]] std::optional<core::Millis> endsIn(core::Millis now) const;

private:
  [[nodiscard]] core::Millis end() const;

  core::Millis GracePeriod;
  std::optional<core::Millis> Began;
};

} // namespace cowslipridge::gateway
