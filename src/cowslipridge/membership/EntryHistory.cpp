#include "cowslipridge/membership/EntryHistory.hpp"

namespace cowslipridge::membership {

namespace {

/// Time for which a runner that left is remembered. A copy of the store is only
/// seconds old when it replaces it.
constexpr core::Millis Retention{120'000};

} // namespace

bool isOutdated(const BackendServer &entry, const BackendServer &later) {
  // Without a start time, incarnations can't be distinguished.
  if (entry.StartedAt == core::Millis() || later.StartedAt == core::Millis())
    return false;
  if (entry.StartedAt != later.StartedAt)
    return entry.StartedAt < later.StartedAt;
  const bool undoesDraining = later.Draining && !entry.Draining;
  return entry.Sequence < later.Sequence ||
         (entry.Sequence == later.Sequence && undoesDraining);
}

void EntryHistory::recordLeft(const BackendServer &last, core::Millis now) {
  Left.insert_or_assign(last.Id, LastEntry{last, now});
}

bool EntryHistory::hasLeft(const BackendServer &entry) const {
  const auto it = Left.find(entry.Id);
  if (it == Left.end())
    return false;
  const BackendServer &last = it->second.Server;
  return isOutdated(entry, last) ||
         (entry.StartedAt == last.StartedAt && entry.Sequence == last.Sequence);
}

void EntryHistory::tick(core::Millis now) {
  std::erase_if(
      Left, [&](const auto &it) { return now - it.second.LeftAt > Retention; });
}

} // namespace cowslipridge::membership
