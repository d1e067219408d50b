#pragma once

#include "cowslipridge/limits/HedgePolicy.hpp"
#include "cowslipridge/route/RunnerChooser.hpp"
#include "support/FakeFleet.hpp"

#include <memory>
#include <string>
#include <vector>

/// What callers see when capacity fails.
namespace cowslipridge::bench::pool_loss {

enum class Fault {
  DomainLost,   ///< its runners answer nothing
  RunnerFrozen, ///< takes calls and reports, but answers none
  RunnerSlow,   ///< ten times slower than its twins
};

struct Policy {
  std::string Name;
  bool UsesChooser = false; ///< false: round robin
  bool Hedges = false;
};

struct Figures {
  double SecondsToLastCall = 0; ///< from the fault to the last steady use
  double P99 = 0;               ///< ms to the first token, after the fault
  double Unanswered = 0;        ///< part of the calls after the fault
  double CallsToFailed = 0;     ///< sent to failed runners after the fault
  double Hedged = 0;            ///< part of the calls after the fault
};

/// Drives entries through one fault. A call without its first token after
/// `CallTimeout` fails and, while the retry budget lasts, goes elsewhere.
class Run {
public:
  Run(Fault fault, Policy policy, std::uint64_t seed);
  Figures run();

private:
  struct Call {
    route::RequestContext Facts;
    std::size_t Entry = 0;
    core::Millis ArrivedAt;
    std::vector<core::RunnerId> Tried;
    bool Answered = false;
    bool Hedged = false;
  };
  struct Entry {
    route::RunnerChooser Chooser;
    limits::RetryBudget Budget{{0.1, 20}};
    limits::HedgePolicy Hedges;
    std::size_t NextRunner = 0;
    /// Failures in a row, by runner.
    std::vector<unsigned> Failures;

    explicit Entry(std::uint64_t seed) : Chooser(seed) {}
  };

  void breakThings();
  void scheduleArrival();
  void arrive();
  void send(const std::shared_ptr<Call> &call);
  std::optional<std::size_t> pick(Entry &entry, const Call &call);
  void onFirstToken(const std::shared_ptr<Call> &call, std::size_t runner,
                    core::Millis sentAt, std::uint64_t cached);
  void onTimeout(const std::shared_ptr<Call> &call, std::size_t runner);
  void considerHedge(const std::shared_ptr<Call> &call);
  [[nodiscard]] bool isBroken(std::size_t runner) const;
  [[nodiscard]] bool isAfterFault(core::Millis at) const;

  Fault Broken;
  Policy Tested;
  core::Random Generator;
  EventQueue Events;
  FakeFleet Fleet;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::vector<double> FirstTokens;
  std::vector<core::Millis> SentToBroken;
  double Calls = 0;
  double Answered = 0;
  double Hedged = 0;
};

} // namespace cowslipridge::bench::pool_loss
