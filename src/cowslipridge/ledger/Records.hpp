#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Outcome.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The journal of one sidecar incarnation: claims, outcomes, bills and pins;
/// ownership of idempotency-key shards; take-over.
namespace cowslipridge::ledger {

/// Identifies one non-idempotent call across the caller's retries.
struct IdempotencyKey {
  core::OrganisationId Organisation;
  core::ServiceId Service;
  std::string Key; ///< the caller's `Idempotency-Key`
  friend auto operator<=>(const IdempotencyKey &,
                          const IdempotencyKey &) = default;
};

/// One part of a bill: a run of one version.
struct BillPart {
  core::VersionId Version;
  std::string Part; ///< `single`, `draft`, `check`, `better`, `hedge`
  core::Outcome Result = core::Outcome::Ran;
  std::uint64_t PromptTokens = 0;
  std::uint64_t AnswerTokens = 0;
  std::uint64_t CostMicro = 0; ///< millionths of the currency unit
  friend auto operator<=>(const BillPart &, const BillPart &) = default;
};

/// What one request costs its organisation. Keyed by request: writing it twice
/// bills it once.
struct Bill {
  core::RequestId Request;
  core::OrganisationId Organisation;
  core::ServiceId Service;
  core::Outcome Result = core::Outcome::Ran; ///< Unknown: not yet settled
  std::vector<BillPart> Parts;
  core::Millis At; ///< wall time
  friend auto operator<=>(const Bill &, const Bill &) = default;
};

/// A promise that the call may run here, and nowhere else.
struct Claim {
  IdempotencyKey Key;
  core::RequestId Request;
  core::Millis At; ///< wall time
  friend auto operator<=>(const Claim &, const Claim &) = default;
};

/// How a claimed call ended, with the answer that retries are given.
struct ClaimOutcome {
  IdempotencyKey Key;
  core::Outcome Result = core::Outcome::Ran;
  int Status = 0;     ///< HTTP status of the answer
  std::string Answer; ///< body, when small enough to be kept
  friend auto operator<=>(const ClaimOutcome &, const ClaimOutcome &) = default;
};

/// The version that a bare session id is pinned to.
struct SessionPin {
  core::OrganisationId Organisation;
  core::ServiceId Service;
  core::SessionId Session;
  core::VersionId Version;
  friend auto operator<=>(const SessionPin &, const SessionPin &) = default;
};

/// The owner gives a shard of the key space up.
struct ShardRelease {
  core::ServiceId Service;
  unsigned Shard = 0;
  friend auto operator<=>(const ShardRelease &, const ShardRelease &) = default;
};

/// The owner has copied what earlier owners recorded of a shard and serves it
/// from here on.
struct ShardAdoption {
  core::ServiceId Service;
  unsigned Shard = 0;
  friend auto operator<=>(const ShardAdoption &,
                          const ShardAdoption &) = default;
};

using JournalRecord = std::variant<Claim, ClaimOutcome, Bill, SessionPin,
                                   ShardRelease, ShardAdoption>;

} // namespace cowslipridge::ledger
