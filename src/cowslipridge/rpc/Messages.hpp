#pragma once

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Outcome.hpp"
#include "cowslipridge/http/Message.hpp"
#include "cowslipridge/rollout/Evidence.hpp"
#include "cowslipridge/rollout/ExposureGuard.hpp"

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace cowslipridge::rpc {

/// A cut-off as it spreads between peers; holds within one generation.
struct CutOffNotification {
  rollout::CutOff Cut;
  core::Generation Configuration;
};

/// What a process says of itself on each message.
struct PeerStatus {
  core::InstanceId Instance;
  core::Incarnation Start;
  core::Generation Configuration;
  core::Millis ConfigurationAge; ///< since it was known to be the newest
  bool Leaving = false;
  unsigned InFlight = 0;
  unsigned Queued = 0;
  unsigned ConcurrencyLimit = 0;
  core::Millis PredictedWait;
  double TrialShare = 0; ///< that the service's trial version gets now
  std::vector<rollout::EvidenceRecord> Evidence;
  std::vector<CutOffNotification> CutOffs;
  /// Grades of answers that the receiver asked for.
  std::vector<backing::Grade> Grades;
  /// Requests of the receiver whose bills are in a journal.
  std::vector<core::RequestId> Billed;
};

/// Asks a sidecar to run one request.
struct RunRequest {
  PeerStatus Sender;
  core::RequestId Request;
  core::OrganisationId Organisation;
  core::ServiceId Service;
  core::VersionId Version;
  core::SessionId Session;
  std::string IdempotencyKey;
  std::string Method;
  std::string Target;
  http::Headers Fields;
  std::string Body;
  core::Millis Remaining; ///< until the deadline, when the message was sent
  std::string Part;       ///< `single`, `draft`, `check`, `better`, `hedge`
  std::vector<std::uint64_t> PrefixHashes;
  unsigned Attempt = 0;
  bool SessionIsPinned = false; ///< the version comes from a sealed token
  bool Idempotent = true;       ///< the call may be run more than once
  bool Stream = false;
  bool Billable = true; ///< the callee writes the bill
};

/// How a run ended.
struct RunResult {
  PeerStatus Callee;
  core::Outcome Result = core::Outcome::Unknown;
  std::error_code Error; ///< none: the answer is complete
  std::string Detail;
  core::Millis RetryAfter;
  core::InstanceId Owner; ///< with Errc::NotOwner; may be empty
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t AnswerTokens = 0;
  std::uint64_t Frames = 0; ///< frames sent
  core::VersionId Version;
  bool Replayed = false; ///< the answer of an earlier attempt
  std::string BillLine;  ///< its bill, as ledger::encodeBill() writes it
};

/// The configuration bundle in force at a peer.
struct BundleContent {
  core::Generation Number;
  std::string Content; ///< JSON
};

} // namespace cowslipridge::rpc
