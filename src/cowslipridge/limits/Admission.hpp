#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

/// Admission, fair share, concurrency limits, retry budgets, hedging: pure
/// decisions.
namespace cowslipridge::limits {

struct AdmissionSettings {
  unsigned MaxConcurrency = 32;
  unsigned MinConcurrency = 1;
  unsigned MaxQueue = 64;
};

/// One request that asks to run.
struct Arrival {
  core::RequestId Request;
  core::OrganisationId Organisation;
  unsigned Weight = 1;   ///< the organisation's share
  core::Millis Deadline; ///< monotonic; for the whole answer
  /// Time on a runner with little else to do. Not the mean of recent times,
  /// which hides that the runner has become slower. 0: not known; the time of
  /// requests that ran nearly alone is taken.
  core::Millis ExpectedWork;
  bool Deferrable = false; ///< may wait for idle capacity
};

/// Run it now.
struct StartRequest {
  core::RequestId Request;
  friend auto operator<=>(const StartRequest &, const StartRequest &) = default;
};

/// It waits; a later event starts or refuses it.
struct QueueRequest {
  core::RequestId Request;
  friend auto operator<=>(const QueueRequest &, const QueueRequest &) = default;
};

/// Answer it at once: it has not run. `RetryAfter` follows from the measured
/// drain rate, spread so that callers do not return together.
struct RefuseRequest {
  core::RequestId Request;
  core::Errc Reason = core::Errc::Overloaded;
  core::Millis RetryAfter;
  friend auto operator<=>(const RefuseRequest &,
                          const RefuseRequest &) = default;
};

using AdmissionAction = std::variant<StartRequest, QueueRequest, RefuseRequest>;
using AdmissionActions = std::vector<AdmissionAction>;

/// Decides which requests one sidecar runs, queues or refuses.
class Admission {
public:
  Admission(AdmissionSettings settings, std::uint64_t seed);
  ~Admission();

  /// Takes the settings of a newer configuration. Work that has started goes
  /// on; a changed bound is learnt under anew.
  void reconfigure(const AdmissionSettings &settings);
  AdmissionActions arrive(const Arrival &arrival, core::Millis now);
  /// A started request ended after `elapsed` on the runner.
  AdmissionActions finish(const core::RequestId &request, core::Millis elapsed,
                          bool failed, core::Millis now);
  /// The caller of a queued or started request went away. The place of a
  /// started one is free at once, so stop it on the runner first.
  AdmissionActions cancel(const core::RequestId &request, core::Millis now);
  /// Refuses what can no longer meet its deadline; call at least every 50 ms.
  AdmissionActions tick(core::Millis now);
  /// Refuses every queued request, with `reason`.
  AdmissionActions refuseQueued(core::Errc reason, core::Millis now);

  [[nodiscard]] unsigned inFlight() const;
  [[nodiscard]] unsigned queued() const;
  [[nodiscard]] unsigned concurrencyLimit() const;
  /// How long a request that arrives now would wait to be started.
  [[nodiscard]] core::Millis predictedWait(core::Millis now) const;

private:
  class State;
  std::unique_ptr<State> Internals;
};

} // namespace cowslipridge::limits
