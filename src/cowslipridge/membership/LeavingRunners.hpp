#pragma once

#include "cowslipridge/membership/BackendServer.hpp"

#include <map>

namespace cowslipridge::membership {

/// Remembers the incarnations of runners that announced their shutdown in a
/// response. No entry of the store makes such an incarnation usable again; a
/// later start under the same id does.
class LeavingRunners {
public:
  /// Records the announcement of the incarnation that started at `startedAt`.
  /// Returns false if it was known already.
  bool record(const core::RunnerId &runner, core::Millis startedAt,
              core::Millis now);
  /// Returns whether the entry belongs to an incarnation that announced its
  /// shutdown, or to an earlier one.
  [[nodiscard]] bool contains(const BackendServer &entry) const;
  /// Extends the record of a runner that is still registered.
  void keep(const core::RunnerId &runner, core::Millis now);
  /// Erases the records of runners that have not been registered for long.
  void tick(core::Millis now);

private:
  struct Announcement {
    core::Millis StartedAt; ///< Unix time
    core::Millis KeptAt;
  };
  std::map<core::RunnerId, Announcement> Announcements;
};

} // namespace cowslipridge::membership
