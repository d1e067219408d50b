#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Outcome.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Journals of sidecars in a key-value store. A journal holds the claims,
/// outcomes, bills and session pins of one sidecar incarnation. Idempotency
/// keys are divided into shards, each owned by one sidecar; another sidecar
/// takes over the shards of a failed owner.
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

/// The cost of one request to its organisation. Bills are keyed by request, so
/// that a bill which is written twice counts once.
struct Bill {
  core::RequestId Request;
  core::OrganisationId Organisation;
  core::ServiceId Service;
  core::Outcome Result = core::Outcome::Ran; ///< Unknown: the cost is not final
  std::vector<BillPart> Parts;
  core::Millis At; ///< wall time
  friend auto operator<=>(const Bill &, const Bill &) = default;
};

/// Grants the owner of the journal the exclusive right to run a call. It takes
/// effect once it is committed.
struct Claim {
  IdempotencyKey Key;
  core::RequestId Request;
  core::Millis At; ///< wall time
  friend auto operator<=>(const Claim &, const Claim &) = default;
};

/// The outcome of a claimed call, with the answer that is returned to retries.
struct ClaimOutcome {
  IdempotencyKey Key;
  core::Outcome Result = core::Outcome::Ran;
  int Status = 0;     ///< HTTP status of the answer
  std::string Answer; ///< body; empty if too large to be stored
  friend auto operator<=>(const ClaimOutcome &, const ClaimOutcome &) = default;
};

/// The version to which a session id that names no version is pinned.
struct SessionPin {
  core::OrganisationId Organisation;
  core::ServiceId Service;
  core::SessionId Session;
  core::VersionId Version;
  friend auto operator<=>(const SessionPin &, const SessionPin &) = default;
};

/// The owner of the journal no longer serves a shard and releases it.
struct ShardRelease {
  core::ServiceId Service;
  unsigned Shard = 0;
  friend auto operator<=>(const ShardRelease &, const ShardRelease &) = default;
};

/// The owner of the journal has copied the earlier owners' records of a shard
/// and serves the shard from this record on.
struct ShardAdoption {
  core::ServiceId Service;
  unsigned Shard = 0;
  friend auto operator<=>(const ShardAdoption &,
                          const ShardAdoption &) = default;
};

using JournalRecord = std::variant<Claim, ClaimOutcome, Bill, SessionPin,
                                   ShardRelease, ShardAdoption>;

} // namespace cowslipridge::ledger
