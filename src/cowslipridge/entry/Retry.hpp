#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <compare>
#include <variant>

namespace cowslipridge::entry {

/// The state of a request after a failed attempt, on which the retry decision
/// depends.
struct AttemptContext {
  bool Idempotent = true;     ///< the call may be run more than once
  bool AnswerStarted = false; ///< the caller has received a part of the answer
  bool MayReplan = false;     ///< another version may be planned
  bool OnTrial = false;       ///< the version is under trial
  unsigned OwnerWaits = 0;    ///< number of waits for an owner so far
  core::Millis Remaining;     ///< until the deadline
};

/// Retry on the sidecar that owns the key, without charge to the retry budget.
struct RedirectToOwner {
  core::InstanceId Owner;
  friend auto operator<=>(const RedirectToOwner &,
                          const RedirectToOwner &) = default;
};
/// Retry on another runner if the retry budget allows it.
struct RetryElsewhere {
  bool IsFree = false; ///< does not charge the budget
  friend auto operator<=>(const RetryElsewhere &,
                          const RetryElsewhere &) = default;
};
/// Retry after `Delay`, without charge to the retry budget, because the key has
/// no owner yet, as after a start or a take-over.
struct WaitForOwner {
  core::Millis Delay;
  friend auto operator<=>(const WaitForOwner &, const WaitForOwner &) = default;
};
/// Choose another plan without this version.
struct Replan {
  friend auto operator<=>(const Replan &, const Replan &) = default;
};
/// Return the error to the caller.
struct GiveUp {
  friend auto operator<=>(const GiveUp &, const GiveUp &) = default;
};

using RetryDecision =
    std::variant<RedirectToOwner, WaitForOwner, RetryElsewhere, Replan, GiveUp>;

/// Decides how a request continues after a failed attempt.
RetryDecision decideRetry(const rpc::RunResult &result,
                          const AttemptContext &context);

} // namespace cowslipridge::entry
