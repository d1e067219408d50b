#pragma once

#include "ProcessContext.hpp"

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/rollout/RolloutStepper.hpp"
#include "cowslipridge/sidecar/Sidecar.hpp"

namespace cowslipridge::daemon {

/// Feeds a sidecar with grades and its service's roll-out record, and records
/// what its evidence decides.
class RolloutService {
public:
  RolloutService(ProcessContext &process,
                 std::shared_ptr<sidecar::Sidecar> work);

  void start();
  void stop();
  /// Takes a newer configuration. From any thread.
  void configure(const config::Bundle &bundle);
  /// The list of instances was read.
  void applyInstanceList(const std::vector<backing::InstanceRecord> &records);

private:
  using StopFlag = std::shared_ptr<std::atomic<bool>>;

  void pollGrades();
  void refreshRecord();

  ProcessContext &Process;
  std::shared_ptr<sidecar::Sidecar> Work;
  std::shared_ptr<backing::Ratings> Grades; ///< null: no rating service
  std::shared_ptr<rollout::RolloutStepper> Record;
  std::uint64_t Cursor = 0; ///< of the grades; loop's thread
  StopFlag Stopped;
};

} // namespace cowslipridge::daemon
