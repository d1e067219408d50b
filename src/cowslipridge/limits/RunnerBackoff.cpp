#include "cowslipridge/limits/RunnerBackoff.hpp"

#include <algorithm>

namespace cowslipridge::limits {

std::optional<BackoffRequest>
RunnerBackoff::onRejected(const core::RunnerId &runner, core::Millis duration,
                          core::Millis now) {
  const core::Millis bounded =
      std::clamp(duration, core::Millis(), MaxDuration);
  if (bounded == core::Millis())
    return std::nullopt;
  const bool begins = remaining(runner, now) == core::Millis();
  core::Millis &until = Until[runner];
  until = std::max(until, now + bounded);
  return begins ? std::optional(BackoffRequest{runner, bounded}) : std::nullopt;
}

core::Millis RunnerBackoff::remaining(const core::RunnerId &runner,
                                      core::Millis now) const {
  const auto it = Until.find(runner);
  return it == Until.end() ? core::Millis()
                           : std::max(core::Millis(), it->second - now);
}

} // namespace cowslipridge::limits
