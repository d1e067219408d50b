#include "cowslipridge/limits/RunnerBackoff.hpp"

#include <algorithm>

namespace cowslipridge::limits {

std::optional<BackoffRequest>
RunnerBackoff::onRejected(const core::RunnerId &runner, core::Millis startedAt,
                          core::Millis duration, core::Millis now) {
  const core::Millis bounded =
      std::clamp(duration, core::Millis(), MaxDuration);
  if (bounded == core::Millis())
    return std::nullopt;
  const core::Millis before = remaining(runner, startedAt, now);
  Backoffs.insert_or_assign(
      runner, Backoff{startedAt, now + std::max(before, bounded)});
  return before == core::Millis()
             ? std::optional(BackoffRequest{runner, bounded})
             : std::nullopt;
}

core::Millis RunnerBackoff::remaining(const core::RunnerId &runner,
                                      core::Millis startedAt,
                                      core::Millis now) const {
  const auto it = Backoffs.find(runner);
  if (it == Backoffs.end() || it->second.StartedAt != startedAt)
    return {};
  return std::max(core::Millis(), it->second.Until - now);
}

void RunnerBackoff::tick(core::Millis now) {
  std::erase_if(Backoffs,
                [&](const auto &it) { return it.second.Until <= now; });
}

} // namespace cowslipridge::limits
