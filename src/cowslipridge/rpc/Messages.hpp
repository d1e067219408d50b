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

/// A cut-off as propagated between peers. It is valid only within the
/// configuration generation that it names.
struct CutOffNotification {
  rollout::CutOff Cut;
  core::Generation Configuration;
};

/// The status that a process attaches to each of its messages.
struct PeerStatus {
  core::InstanceId Instance;
  core::Incarnation Start;
  core::Generation Configuration;
  core::Millis ConfigurationAge; ///< since it was last confirmed as newest
  bool Leaving = false;          ///< the process is draining
  unsigned InFlight = 0;
  unsigned Queued = 0;
  unsigned ConcurrencyLimit = 0;
  core::Millis PredictedWait;
  double TrialShare = 0; ///< current share of the trial version, 0 to 1
  std::vector<rollout::EvidenceRecord> Evidence;
  std::vector<CutOffNotification> CutOffs;
  /// Grades of answers to the receiver's requests.
  std::vector<backing::Grade> Grades;
  /// The receiver's requests whose bills have been written to a journal.
  std::vector<core::RequestId> Billed;
};

/// Requests that a sidecar run one attempt of a request.
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
  core::Millis Remaining; ///< time left until the deadline at sending
  std::string Part;       ///< `single`, `draft`, `check`, `better`, `hedge`
  std::vector<std::uint64_t> PrefixHashes;
  unsigned Attempt = 0;
  bool SessionIsPinned = false; ///< the version is pinned by a sealed token
  bool Idempotent = true;       ///< may be executed more than once
  bool Stream = false;
  bool Billable = true; ///< the callee must write the bill
};

/// The final result of a run.
struct RunResult {
  PeerStatus Callee;
  core::Outcome Result = core::Outcome::Unknown;
  std::error_code Error; ///< empty if the answer is complete
  std::string Detail;
  core::Millis RetryAfter;
  core::InstanceId Owner; ///< set with Errc::NotOwner, if known
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t AnswerTokens = 0;
  std::uint64_t Frames = 0; ///< number of frames sent
  core::VersionId Version;
  bool Replayed = false; ///< replays the stored answer of an attempt
  std::string BillLine;  ///< as encoded by ledger::encodeBill()
};

/// The configuration bundle in force at a peer.
struct BundleContent {
  core::Generation Number;
  std::string Content; ///< JSON
};

} // namespace cowslipridge::rpc
