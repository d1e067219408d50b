#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/ledger/Records.hpp"

#include <variant>

namespace cowslipridge::ledger {

/// The claim is committed: the call must be run now, by the asker, once.
struct RunClaimed {};
/// An earlier attempt ended: give its outcome and answer.
struct ReplayOutcome {
  ClaimOutcome Earlier;
};
/// An earlier attempt is running here; its outcome follows on the callback of
/// `attach`.
struct AlreadyRunning {};
/// This attempt did not run and never will: the caller may try again, elsewhere
/// if `Owner` names another instance. It says nothing of earlier attempts with
/// the key: a sidecar that cannot append cannot know that it still owns it.
struct ClaimRefused {
  core::Errc Reason = core::Errc::StoreUnavailable;
  core::InstanceId Owner;
  core::Millis RetryAfter;
};

using ClaimDecision =
    std::variant<RunClaimed, ReplayOutcome, AlreadyRunning, ClaimRefused>;

} // namespace cowslipridge::ledger
