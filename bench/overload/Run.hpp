#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/limits/RetryBudget.hpp"
#include "overload/AdmissionController.hpp"
#include "overload/Server.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowslipridge::bench::overload {

/// Settings of one workload. It consists of interactive requests and of drafts,
/// which are deferrable and have a later deadline.
struct Workload {
  std::string Name;
  double Load = 1;          ///< offered work over the fleet's capacity
  double DraftShare = 0.2;  ///< of the work: drafts
  double FloodShare = 0.25; ///< of the requests: from organisation 0
  bool WorkUnknown = false; ///< requests carry no predicted time
  core::Millis Length{90'000};
  core::Millis BrownOutAt{0}; ///< 0: none
  core::Millis BrownOutLength{30'000};
};

struct Metrics {
  double UsefulShare = 0;   ///< work served in time over capacity
  double OthersServed = 0;  ///< of the interactive work offered by the others
  double FloodShare = 0;    ///< of the useful interactive work: organisation 0
  double DraftsInTime = 0;  ///< of the accepted drafts
  double RefusalMillis = 0; ///< p95 of the time until a rejection
  double DraftRefusalMillis = 0;
  double DelayedRetriesAccepted = 0; ///< of retries after the requested delay
  double RecoverySeconds = 0;
  double InFlight = 0;    ///< mean per runner
  double WastedShare = 0; ///< work on late or cancelled calls, over capacity
};

/// Simulates several runners with one admission policy under one workload.
class Run {
public:
  Run(const Workload &workload, Policy policy, std::uint64_t seed);
  Metrics run();

private:
  /// A caller's request, over all its attempts.
  struct Caller {
    limits::Arrival Arrival;
    double Work = 0;
    std::size_t Organisation = 0;
    unsigned Attempts = 0;
    bool DelayedRetry = false;
    core::Millis FirstAt;
  };
  struct Attempt {
    std::shared_ptr<Caller> Owner;
    std::size_t Runner = 0;
    core::Millis ArrivedAt;
    core::Millis StartedAt;
    core::Millis Deadline;
    bool Started = false;
    bool Accepted = false; ///< set when the attempt starts
    bool TimedOut = false;
  };

  void scheduleCaller(bool draft);
  void scheduleTick();
  void sampleInFlight();
  std::shared_ptr<Caller> drawCaller(bool draft);
  void attempt(const std::shared_ptr<Caller> &caller);
  std::size_t pickRunner();
  void apply(std::size_t runner, const limits::AdmissionActions &actions);
  [[nodiscard]] bool isCountedDraft(const Attempt &attempt) const;
  void countAccepted(Attempt &attempt);
  void onStart(const core::RequestId &request);
  void onRefuse(const limits::RefuseRequest &refusal);
  void onEnd(std::size_t runner, const core::RequestId &request);
  void onDeadline(const core::RequestId &request);
  void retryAfterDelay(const std::shared_ptr<Caller> &caller,
                       core::Millis after);
  [[nodiscard]] bool isMeasured(core::Millis at) const;
  [[nodiscard]] double recoverySeconds() const;

  Workload TestedWorkload;
  Policy TestedPolicy;
  core::Random Generator;
  EventQueue Events;
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<AdmissionController> Controllers;
  std::map<core::RequestId, Attempt> Attempts;
  limits::RetryBudget Budget;
  std::uint64_t LastRequest = 0;

  double UsefulWork = 0;
  double WastedWork = 0;
  double InFlightTicks = 0;
  double Ticks = 0;
  double OthersOfferedWork = 0;
  double OthersServedWork = 0;
  double FloodServedWork = 0;
  double DraftsAccepted = 0;
  double DraftsCompleted = 0;
  double DelayedRetries = 0;
  double DelayedRetriesAccepted = 0;
  std::vector<double> RefusalTimes;
  std::vector<double> DraftRefusalTimes;
  std::vector<double> OfferedBySecond;
  std::vector<double> ServedBySecond;
};

} // namespace cowslipridge::bench::overload
