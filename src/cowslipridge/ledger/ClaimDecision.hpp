#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/ledger/Records.hpp"

#include <variant>

namespace cowslipridge::ledger {

/// The claim is committed: the requester must run the call now, exactly once.
struct RunClaimed {};
/// An earlier attempt with the key has completed: return its outcome and
/// answer.
struct ReplayOutcome {
  ClaimOutcome Earlier;
};
/// An earlier attempt with the key is running on this sidecar. Ledger::attach()
/// reports its outcome.
struct AlreadyRunning {};
/// This attempt did not run and never will. The caller may retry, on `Owner` if
/// it names another instance. The refusal says nothing about earlier attempts
/// with the key: a sidecar that cannot append to its journal cannot know
/// whether it still owns the key.
struct ClaimRefused {
  core::Errc Reason = core::Errc::StoreUnavailable;
  core::InstanceId Owner;
  core::Millis RetryAfter;
};

using ClaimDecision =
    std::variant<RunClaimed, ReplayOutcome, AlreadyRunning, ClaimRefused>;

} // namespace cowslipridge::ledger
