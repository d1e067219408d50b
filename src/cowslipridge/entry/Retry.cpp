#include "cowslipridge/entry/Retry.hpp"

#include "cowslipridge/core/Error.hpp"

namespace cowslipridge::entry {

using core::Errc;
using core::Outcome;

namespace {

constexpr core::Millis OwnerRetryDelay{100};
constexpr unsigned MaxOwnerWaits = 20;

// Returns true for errors that another runner may not return.
bool isRunnerSpecific(std::error_code ec) {
  return ec == Errc::RunnerUnavailable || ec == Errc::RunnerFailed ||
         ec == Errc::Overloaded || ec == Errc::Leaving ||
         ec == Errc::StaleGeneration || ec == Errc::NoRunner ||
         ec == Errc::Sealed || ec == Errc::OutcomeUnknown;
}

} // namespace

RetryDecision decideRetry(const rpc::RunResult &result,
                          const AttemptContext &context) {
  if (context.AnswerStarted || context.Remaining <= core::Millis(0))
    return GiveUp{};
  if (result.Result != Outcome::NotRun && !context.Idempotent)
    return GiveUp{};
  if (result.Error == Errc::NotOwner && !result.Owner.empty())
    return RedirectToOwner{result.Owner};
  const bool hasTime = context.Remaining > OwnerRetryDelay;
  if (result.Error == Errc::NotOwner && hasTime &&
      context.OwnerWaits < MaxOwnerWaits)
    return WaitForOwner{OwnerRetryDelay};
  if (result.Error == Errc::VersionWithdrawn ||
      result.Error == Errc::UnknownVersion)
    return context.MayReplan ? RetryDecision(Replan{}) : GiveUp{};
  if (result.Error == Errc::Overloaded && context.OnTrial && context.MayReplan)
    return Replan{};
  // An instance drains only once, so these retries add no lasting load.
  if (result.Error == Errc::Leaving)
    return RetryElsewhere{true};
  if (isRunnerSpecific(result.Error))
    return RetryElsewhere{};
  return GiveUp{};
}

} // namespace cowslipridge::entry
