#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace cowslipridge::limits {

/// A runner's turn for the worse or the better.
struct EjectionChange {
  core::RunnerId Runner;
  core::Millis Length; ///< without requests; zero: it serves again
  unsigned InRow = 0;  ///< ejections without an answer in between

  [[nodiscard]] bool isEjected() const { return Length > core::Millis(); }
  friend auto operator<=>(const EjectionChange &,
                          const EjectionChange &) = default;
};

/// Runners that get no requests for a while because of how they treated recent
/// ones. Passive: learns from traffic only.
class Ejections {
public:
  /// The runner could not be reached, or was silent: it is out at once.
  std::optional<EjectionChange> onUnreachable(const core::RunnerId &runner,
                                              core::Millis now);
  /// It failed or broke off one request.
  std::optional<EjectionChange> onFailure(const core::RunnerId &runner,
                                          core::Millis now);
  std::optional<EjectionChange> onSuccess(const core::RunnerId &runner);
  void removeRunner(const core::RunnerId &runner) { Records.erase(runner); }
  [[nodiscard]] bool isEjected(const core::RunnerId &runner,
                               core::Millis now) const;

private:
  struct Record {
    unsigned FailuresInRow = 0;
    unsigned EjectionsInRow = 0;
    core::Millis Until;
  };

  std::optional<EjectionChange> eject(const core::RunnerId &runner,
                                      Record &record, core::Millis now);

  std::map<core::RunnerId, Record> Records;
};

} // namespace cowslipridge::limits
