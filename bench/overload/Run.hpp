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

/// Shape of one workload.
struct Shape {
  std::string Name;
  double Load = 1;          ///< offered work over the fleet's capacity
  double DraftShare = 0.2;  ///< of the work: deferrable
  double FloodShare = 0.25; ///< of the prompt work: organisation 0's
  bool WorkUnknown = false; ///< no time is predicted for a request
  core::Millis Length{90'000};
  core::Millis BrownOutAt{0}; ///< 0: none
  core::Millis BrownOutLength{30'000};
};

struct Figures {
  double UsefulShare = 0;   ///< work done in time over capacity
  double OthersServed = 0;  ///< of the work that the other organisations want
  double FloodShare = 0;    ///< of the useful prompt work
  double DraftsInTime = 0;  ///< of the drafts taken on
  double RefusalMillis = 0; ///< p95 of the time until a refusal
  double DraftRefusalMillis = 0;
  double ReturnsTaken = 0; ///< of callers that came back when told to
  double RecoverySeconds = 0;
  double InFlight = 0;    ///< mean per runner
  double WastedShare = 0; ///< work of calls ended too late, over capacity
};

/// Drives one admission policy at several runners through one workload.
class Run {
public:
  Run(const Shape &shape, Policy policy, std::uint64_t seed);
  Figures run();

private:
  /// One caller's wish, over all its attempts.
  struct Caller {
    limits::Arrival Wish;
    double Work = 0;
    std::size_t Organisation = 0;
    unsigned Attempts = 0;
    bool Returned = false;
    core::Millis FirstAt;
  };
  struct Attempt {
    std::shared_ptr<Caller> Owner;
    std::size_t Runner = 0;
    core::Millis ArrivedAt;
    core::Millis StartedAt;
    core::Millis Deadline;
    bool Started = false;
    bool Taken = false; ///< queued or started
    bool GaveUp = false;
  };

  void scheduleCaller(bool draft);
  void scheduleTick();
  void sampleInFlight();
  std::shared_ptr<Caller> drawCaller(bool draft);
  void attempt(const std::shared_ptr<Caller> &caller);
  std::size_t pickRunner();
  void apply(std::size_t runner, const limits::AdmissionActions &actions);
  [[nodiscard]] bool isCountedDraft(const Attempt &attempt) const;
  void countTaken(Attempt &attempt);
  void onStart(const core::RequestId &request);
  void onRefuse(const limits::RefuseRequest &refusal);
  void onEnd(std::size_t runner, const core::RequestId &request);
  void onDeadline(const core::RequestId &request);
  void comeBack(const std::shared_ptr<Caller> &caller, core::Millis after);
  [[nodiscard]] bool isMeasured(core::Millis at) const;
  [[nodiscard]] double recoverySeconds() const;

  Shape Driven;
  Policy Tested;
  core::Random Generator;
  EventQueue Events;
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<Gate> Gates;
  std::map<core::RequestId, Attempt> Attempts;
  limits::RetryBudget Budget;
  std::uint64_t Drawn = 0;

  double UsefulWork = 0;
  double WastedWork = 0;
  double InFlightTicks = 0;
  double Ticks = 0;
  double OthersWanted = 0;
  double OthersDone = 0;
  double FloodDone = 0;
  double Drafts = 0;
  double DraftsDone = 0;
  double Returns = 0;
  double ReturnsTaken = 0;
  std::vector<double> RefusalTimes;
  std::vector<double> DraftRefusalTimes;
  std::vector<double> WantedBySecond;
  std::vector<double> DoneBySecond;
};

} // namespace cowslipridge::bench::overload
