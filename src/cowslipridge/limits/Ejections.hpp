#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace cowslipridge::limits {

/// Ejection or readmission of a runner.
struct EjectionChange {
  core::RunnerId Runner;
  core::Millis Duration; ///< of the ejection; zero: the runner is readmitted
  unsigned ConsecutiveEjections = 0; ///< without a successful answer in between

  [[nodiscard]] bool isEjected() const { return Duration > core::Millis(); }
  friend auto operator<=>(const EjectionChange &,
                          const EjectionChange &) = default;
};

/// Passive outlier ejection: a runner that failed recent requests gets no
/// requests for a time that doubles with each consecutive ejection. Only the
/// outcomes of normal traffic are used; no probes are sent. The handlers return
/// the change that they cause, if any.
class Ejections {
public:
  /// Handles a connect failure or a timeout of the runner: ejects it at once.
  std::optional<EjectionChange> onUnreachable(const core::RunnerId &runner,
                                              core::Millis now);
  /// Handles one request that the runner failed or broke off; ejects the runner
  /// after several in a row.
  std::optional<EjectionChange> onFailure(const core::RunnerId &runner,
                                          core::Millis now);
  /// Handles a successful answer: readmits the runner and resets its counters.
  std::optional<EjectionChange> onSuccess(const core::RunnerId &runner);
  void removeRunner(const core::RunnerId &runner) { Records.erase(runner); }
  [[nodiscard]] bool isEjected(const core::RunnerId &runner,
                               core::Millis now) const;

private:
  struct Record {
    unsigned ConsecutiveFailures = 0;
    unsigned ConsecutiveEjections = 0;
    core::Millis Until;
  };

  std::optional<EjectionChange> eject(const core::RunnerId &runner,
                                      Record &record, core::Millis now);

  std::map<core::RunnerId, Record> Records;
};

} // namespace cowslipridge::limits
