#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <compare>
#include <variant>

namespace cowslipridge::entry {

/// What an attempt that failed leaves possible.
struct AttemptContext {
  bool Idempotent = true;     ///< the call may be run more than once
  bool AnswerStarted = false; ///< the caller has seen a part of the answer
  bool PlansLeft = false;     ///< another version may be planned
  bool OnTrial = false;       ///< the version is under trial
  unsigned OwnerWaits = 0;    ///< times it has waited for an owner
  core::Millis Remaining;     ///< until the deadline
};

/// Ask the sidecar that owns the key; costs nothing of the retry budget.
struct RedirectToOwner {
  core::InstanceId Owner;
  friend auto operator<=>(const RedirectToOwner &,
                          const RedirectToOwner &) = default;
};
/// Try another runner, if the retry budget allows.
struct RetryElsewhere {
  bool IsFree = false; ///< costs nothing of the budget
  friend auto operator<=>(const RetryElsewhere &,
                          const RetryElsewhere &) = default;
};
/// Nobody owns the key yet, as after a start or a take-over: ask again after
/// `Pause`; costs nothing of the retry budget.
struct WaitForOwner {
  core::Millis Pause;
  friend auto operator<=>(const WaitForOwner &, const WaitForOwner &) = default;
};
/// Plan again without this version.
struct Replan {
  friend auto operator<=>(const Replan &, const Replan &) = default;
};
/// Tell the caller.
struct GiveUp {
  friend auto operator<=>(const GiveUp &, const GiveUp &) = default;
};

using RetryDecision =
    std::variant<RedirectToOwner, WaitForOwner, RetryElsewhere, Replan, GiveUp>;

/// Decides what follows an attempt that failed.
RetryDecision decideRetry(const rpc::RunResult &result,
                          const AttemptContext &facts);

} // namespace cowslipridge::entry
