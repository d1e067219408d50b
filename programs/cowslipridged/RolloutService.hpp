#pragma once

#include "ProcessContext.hpp"

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/rollout/RolloutStepper.hpp"
#include "cowslipridge/sidecar/Sidecar.hpp"

namespace cowslipridge::daemon {

/// Supplies a sidecar with grades and its service's roll-out record, and writes
/// the roll-out steps that follow from the sidecar's evidence to that record.
class RolloutService {
public:
  RolloutService(ProcessContext &process,
                 std::shared_ptr<sidecar::Sidecar> sidecar);

  void start();
  void stop();
  /// Applies a newer configuration. Thread-safe.
  void configure(const config::Bundle &bundle);
  /// Applies a newly fetched instance list.
  void applyInstanceList(const std::vector<backing::InstanceRecord> &records);

private:
  using StopFlag = std::shared_ptr<std::atomic<bool>>;

  void pollGrades();
  void refreshRecord();

  ProcessContext &Process;
  std::shared_ptr<sidecar::Sidecar> Sidecar;
  std::shared_ptr<backing::Ratings> Grades; ///< null without a rating service
  std::shared_ptr<rollout::RolloutStepper> Stepper;
  /// Position in the grades. Used on the event loop's thread only.
  std::uint64_t Cursor = 0;
  StopFlag Stopped;
};

} // namespace cowslipridge::daemon
