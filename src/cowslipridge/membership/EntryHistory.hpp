#pragma once

#include "cowslipridge/membership/BackendServer.hpp"

#include <map>

namespace cowslipridge::membership {

/// Returns whether `entry` was replaced by `later` at some time, so that it can
/// only come from an older copy of the store.
bool isOutdated(const BackendServer &entry, const BackendServer &later);

/// Remembers the last entries of runners that left, so that an older copy of
/// the store does not bring them back.
class EntryHistory {
public:
  void recordLeft(const BackendServer &last, core::Millis now);
  void recordRegistered(const core::RunnerId &id) { Left.erase(id); }
  /// Returns whether the entry is not later than the last one of a runner that
  /// left.
  [[nodiscard]] bool hasLeft(const BackendServer &entry) const;
  /// Forgets runners that left long ago.
  void tick(core::Millis now);

private:
  struct LastEntry {
    BackendServer Server;
    core::Millis LeftAt;
  };
  std::map<core::RunnerId, LastEntry> Left;
};

} // namespace cowslipridge::membership
