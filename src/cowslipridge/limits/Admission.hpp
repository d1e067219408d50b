#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

/// Admission control, fair queueing, concurrency limits, outlier ejection,
/// retry budgets and hedging. The classes only decide; they do no I/O.
namespace cowslipridge::limits {

/// Bounds of the requests that one sidecar runs and queues.
struct AdmissionSettings {
  unsigned MaxConcurrency = 32;
  unsigned MinConcurrency = 1;
  unsigned MaxQueue = 64;
};

/// A request that is submitted for admission.
struct Arrival {
  core::RequestId Request;
  core::OrganisationId Organisation;
  unsigned Weight = 1;   ///< the organisation's weight in the fair queue
  core::Millis Deadline; ///< monotonic; for the complete answer
  /// Expected run time on a lightly loaded runner. Must not be the mean of
  /// recent run times, which would hide that the runner has become slower. 0 if
  /// unknown; the run time of requests on the lightly loaded runner is used
  /// then.
  core::Millis ExpectedWork;
  bool Deferrable = false; ///< may wait for idle capacity
};

/// The request is to be run now.
struct StartRequest {
  core::RequestId Request;
  friend auto operator<=>(const StartRequest &, const StartRequest &) = default;
};

/// The request was queued; a later event starts or refuses it.
struct QueueRequest {
  core::RequestId Request;
  friend auto operator<=>(const QueueRequest &, const QueueRequest &) = default;
};

/// The request is to be answered with an error at once; it has not run.
/// `RetryAfter` follows from the measured drain rate, with jitter so that
/// callers do not retry at the same time.
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

  /// Applies the settings of a newer configuration. Started requests go on. If
  /// a concurrency bound changed, the adaptive limit starts anew.
  void reconfigure(const AdmissionSettings &settings);
  AdmissionActions arrive(const Arrival &arrival, core::Millis now);
  /// Handles the end of a started request after `elapsed` on the runner.
  AdmissionActions finish(const core::RequestId &request, core::Millis elapsed,
                          bool failed, core::Millis now);
  /// Handles the cancellation of a queued or started request. The slot of a
  /// started request is free at once, so stop it on the runner first.
  AdmissionActions cancel(const core::RequestId &request, core::Millis now);
  /// Refuses queued requests that can no longer meet their deadlines; call at
  /// least every 50 ms.
  AdmissionActions tick(core::Millis now);
  /// Refuses every queued request, with `reason`.
  AdmissionActions refuseQueued(core::Errc reason, core::Millis now);

  [[nodiscard]] unsigned inFlight() const;
  [[nodiscard]] unsigned queued() const;
  [[nodiscard]] unsigned concurrencyLimit() const;
  /// Returns how long a request that arrives now would wait to be started.
  [[nodiscard]] core::Millis predictedWait(core::Millis now) const;

private:
  class State;
  std::unique_ptr<State> Internals;
};

} // namespace cowslipridge::limits
