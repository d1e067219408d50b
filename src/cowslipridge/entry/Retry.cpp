#include "cowslipridge/entry/Retry.hpp"

#include "cowslipridge/core/Error.hpp"

namespace cowslipridge::entry {

using core::Errc;
using core::Outcome;

namespace {

constexpr core::Millis OwnerPause{100};
constexpr unsigned MaxOwnerWaits = 20;

// Refusals that another runner may not share.
bool isLocal(std::error_code ec) {
  return ec == Errc::RunnerUnavailable || ec == Errc::RunnerFailed ||
         ec == Errc::Overloaded || ec == Errc::Leaving ||
         ec == Errc::StaleGeneration || ec == Errc::NoRunner ||
         ec == Errc::Sealed || ec == Errc::OutcomeUnknown;
}

} // namespace

RetryDecision decideRetry(const rpc::RunResult &result,
                          const AttemptContext &facts) {
  if (facts.AnswerStarted || facts.Remaining <= core::Millis(0))
    return GiveUp{};
  if (result.Result != Outcome::NotRun && !facts.Idempotent)
    return GiveUp{};
  if (result.Error == Errc::NotOwner && !result.Owner.empty())
    return RedirectToOwner{result.Owner};
  const bool hasTime = facts.Remaining > OwnerPause;
  if (result.Error == Errc::NotOwner && hasTime &&
      facts.OwnerWaits < MaxOwnerWaits)
    return WaitForOwner{OwnerPause};
  if (result.Error == Errc::VersionWithdrawn ||
      result.Error == Errc::UnknownVersion)
    return facts.PlansLeft ? RetryDecision(Replan{}) : GiveUp{};
  if (result.Error == Errc::Overloaded && facts.OnTrial && facts.PlansLeft)
    return Replan{};
  // An instance leaves once, so this adds no load that lasts.
  if (result.Error == Errc::Leaving)
    return RetryElsewhere{true};
  if (isLocal(result.Error))
    return RetryElsewhere{};
  return GiveUp{};
}

} // namespace cowslipridge::entry
