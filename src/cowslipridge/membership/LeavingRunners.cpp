#include "cowslipridge/membership/LeavingRunners.hpp"

#include <algorithm>

namespace cowslipridge::membership {

namespace {

/// Time for which an announcement outlives the entry of its runner. A copy that
/// replaces the store is only seconds old.
constexpr core::Millis Retention{120'000};

} // namespace

bool LeavingRunners::record(const core::RunnerId &runner,
                            core::Millis startedAt, core::Millis now) {
  const auto [it, inserted] =
      Announcements.try_emplace(runner, Announcement{startedAt, now});
  if (inserted)
    return true;
  const bool later = startedAt > it->second.StartedAt;
  it->second.StartedAt = std::max(it->second.StartedAt, startedAt);
  it->second.KeptAt = now;
  return later;
}

bool LeavingRunners::contains(const BackendServer &entry) const {
  const auto it = Announcements.find(entry.Id);
  return it != Announcements.end() && entry.StartedAt <= it->second.StartedAt;
}

void LeavingRunners::keep(const core::RunnerId &runner, core::Millis now) {
  if (const auto it = Announcements.find(runner); it != Announcements.end())
    it->second.KeptAt = now;
}

void LeavingRunners::tick(core::Millis now) {
  std::erase_if(Announcements, [&](const auto &it) {
    return now - it.second.KeptAt > Retention;
  });
}

} // namespace cowslipridge::membership
