#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <map>

namespace cowslipridge::limits {

/// Runners that get no requests for a while because of how they treated recent
/// ones. Passive: learns from traffic only.
class Ejections {
public:
  /// The runner could not be reached, or was silent: it is out at once.
  void onUnreachable(const core::RunnerId &runner, core::Millis now);
  /// It failed or broke off one request.
  void onFailure(const core::RunnerId &runner, core::Millis now);
  void onSuccess(const core::RunnerId &runner);
  void forget(const core::RunnerId &runner) { Records.erase(runner); }
  [[nodiscard]] bool isEjected(const core::RunnerId &runner,
                               core::Millis now) const;

private:
  struct Record {
    unsigned FailuresInRow = 0;
    unsigned EjectionsInRow = 0;
    core::Millis Until;
  };

  void eject(Record &record, core::Millis now);

  std::map<core::RunnerId, Record> Records;
};

} // namespace cowslipridge::limits
