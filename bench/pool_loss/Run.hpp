#pragma once

#include "cowslipridge/limits/HedgePolicy.hpp"
#include "cowslipridge/route/RunnerChooser.hpp"
#include "support/FakeFleet.hpp"

#include <memory>
#include <string>
#include <vector>

/// Measures unanswered calls and time to first token when runners fail.
namespace cowslipridge::bench::pool_loss {

enum class Fault {
  DomainLost,   ///< the runners of one failure domain do not respond
  RunnerFrozen, ///< accepts calls and reports load, but never responds
  RunnerSlow,   ///< ten times slower than the other runners
};

struct Policy {
  std::string Name;
  bool UsesChooser = false; ///< false: round robin
  bool Hedges = false;
};

struct Metrics {
  /// Time from the fault to the last steady use of a failed runner.
  double SecondsToLastCall = 0;
  double P99 = 0;           ///< ms to the first token, after the fault
  double Unanswered = 0;    ///< part of the calls after the fault
  double CallsToFailed = 0; ///< sent to failed runners after the fault
  double Hedged = 0;        ///< part of the calls after the fault
};

/// Simulates entries during one fault. An attempt without a first token after
/// `CallTimeout` fails and is retried on another runner, subject to the retry
/// budget.
class Run {
public:
  Run(Fault fault, Policy policy, std::uint64_t seed);
  Metrics run();

private:
  struct Call {
    route::RequestContext Context;
    std::size_t Entry = 0;
    core::Millis ArrivedAt;
    std::vector<core::RunnerId> TriedRunners;
    bool Answered = false;
    bool Hedged = false;
  };
  struct Entry {
    route::RunnerChooser Chooser;
    limits::RetryBudget Budget{{0.1, 20}};
    limits::HedgePolicy Hedges;
    std::size_t NextRunner = 0;
    /// Consecutive failures, by runner.
    std::vector<unsigned> Failures;

    explicit Entry(std::uint64_t seed) : Chooser(seed) {}
  };

  void injectFault();
  void scheduleArrival();
  void arrive();
  void send(const std::shared_ptr<Call> &call);
  std::optional<std::size_t> pick(Entry &entry, const Call &call);
  void onFirstToken(const std::shared_ptr<Call> &call, std::size_t runner,
                    core::Millis sentAt, std::uint64_t cached);
  void onTimeout(const std::shared_ptr<Call> &call, std::size_t runner);
  void scheduleHedgeCheck(const std::shared_ptr<Call> &call);
  [[nodiscard]] bool isFailed(std::size_t runner) const;
  [[nodiscard]] bool isAfterFault(core::Millis at) const;

  Fault InjectedFault;
  Policy TestedPolicy;
  core::Random Generator;
  EventQueue Events;
  FakeFleet Fleet;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::vector<double> FirstTokenMillis;
  std::vector<core::Millis> SentToFailed;
  double Calls = 0;
  double Answered = 0;
  double Hedged = 0;
};

} // namespace cowslipridge::bench::pool_loss
