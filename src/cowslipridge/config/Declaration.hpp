#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The declarations of operators: one INI file per service, parsed into
/// immutable aggregates and published together as a bundle.
namespace cowslipridge::config {

/// Whether a version accepts requests.
enum class VersionState {
  Active,    ///< accepts requests
  Trial,     ///< accepts the share that its roll-out allows
  Withdrawn, ///< accepts no new requests
};

/// One version of a model, or of the program of a plain service.
struct VersionDeclaration {
  core::VersionId Name;
  VersionState State = VersionState::Active;
  std::string EngineModel;          ///< the model name that the runner expects
  double CostPerThousandTokens = 0; ///< prompt and answer tokens alike
  double ExpectedQuality = 0.5;     ///< 0..1; used until grades are received

  friend auto operator<=>(const VersionDeclaration &,
                          const VersionDeclaration &) = default;
};

/// The access of one organisation to the service, with its limits.
struct OrganisationDeclaration {
  core::OrganisationId Name;
  std::vector<std::string> KeyHashes;   ///< SHA-256 of API keys, lower-case hex
  std::vector<core::VersionId> Allowed; ///< the only versions that it may use
  double QualityTarget = 0;             ///< mean grade to maintain, 0..1
  unsigned Weight = 1;                  ///< share when capacity is short
  unsigned MaxInFlight = 0;             ///< 0: no separate limit

  friend auto operator<=>(const OrganisationDeclaration &,
                          const OrganisationDeclaration &) = default;
};

/// How a trial version replaces another, step by step.
struct RolloutDeclaration {
  core::VersionId Trial;
  core::VersionId Replaces;
  std::vector<double> Steps;    ///< rising shares in (0, 1]; the last one is 1
  unsigned InitialCredits = 4;  ///< ungraded requests allowed at the start
  unsigned GradesPerStep = 50;  ///< grades that complete a step
  double MaxQualityLoss = 0.05; ///< tolerated loss of mean grade
  /// Probability of cutting off a good version, 0..1.
  double FalseCutOff = 0.01;

  friend auto operator<=>(const RolloutDeclaration &,
                          const RolloutDeclaration &) = default;
};

/// One call of a plain service, by method and path prefix.
struct CallDeclaration {
  std::string Name;
  std::string Method;     ///< upper case
  std::string PathPrefix; ///< begins with `/`
  bool Idempotent = false;

  friend auto operator<=>(const CallDeclaration &,
                          const CallDeclaration &) = default;
};

enum class ServiceKind {
  Model, ///< runners speak chat completions
  Plain, ///< runners speak plain HTTP
};

/// One service, as its file declares it.
struct ServiceDeclaration {
  core::ServiceId Name;
  ServiceKind Kind = ServiceKind::Model;
  /// Time limit of the complete answer, from the arrival of the request.
  core::Millis Deadline{30'000};
  core::Millis MaxWait{0}; ///< limit of the wait for capacity; 0: Deadline
  /// Time for which an idempotency key is retained.
  core::Millis DedupWindow{600'000};
  unsigned Shards = 64;         ///< parts of the idempotency-key space
  unsigned MaxQueue = 64;       ///< waiting requests per runner
  unsigned MaxConcurrency = 32; ///< limit of running requests per runner
  bool Deferrable = false;      ///< work that waits for idle capacity (drafts)
  bool ChecksFencing = false;   ///< runners reject an old fencing number
  std::vector<VersionDeclaration> Versions;
  std::vector<OrganisationDeclaration> Organisations;
  std::vector<CallDeclaration> Calls; ///< plain services only
  std::optional<RolloutDeclaration> Rollout;

  [[nodiscard]] const VersionDeclaration *
  findVersion(const core::VersionId &name) const;
  [[nodiscard]] const OrganisationDeclaration *
  findOrganisation(const core::OrganisationId &name) const;
  /// Returns true when `organisation` may use `version` and it is not
  /// withdrawn.
  [[nodiscard]] bool permits(const core::OrganisationId &organisation,
                             const core::VersionId &version) const;

  friend auto operator<=>(const ServiceDeclaration &,
                          const ServiceDeclaration &) = default;
};

/// All services that are in force together, under one generation.
struct Bundle {
  core::Generation Number;
  std::map<core::ServiceId, ServiceDeclaration> Services;

  [[nodiscard]] const ServiceDeclaration *
  findService(const core::ServiceId &name) const;

  friend auto operator<=>(const Bundle &, const Bundle &) = default;
};

} // namespace cowslipridge::config
