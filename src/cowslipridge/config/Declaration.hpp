#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What operators declare: one INI file a service, parsed into immutable
/// aggregates and published together as a bundle.
namespace cowslipridge::config {

/// Whether a version takes requests.
enum class VersionState {
  Active,    ///< takes requests
  Trial,     ///< takes the share that its roll-out has earned
  Withdrawn, ///< takes no new requests
};

/// One version of a model, or of a plain server's program.
struct VersionDeclaration {
  core::VersionId Name;
  VersionState State = VersionState::Active;
  std::string EngineModel;          ///< the model name that the runner expects
  double CostPerThousandTokens = 0; ///< prompt and answer tokens alike
  double ExpectedQuality = 0.5;     ///< 0..1; used until grades have come in

  friend auto operator<=>(const VersionDeclaration &,
                          const VersionDeclaration &) = default;
};

/// One organisation's use of the service.
struct OrganisationDeclaration {
  core::OrganisationId Name;
  std::vector<std::string> KeyHashes;   ///< SHA-256 of API keys, lower-case hex
  std::vector<core::VersionId> Allowed; ///< only these versions may run
  double QualityTarget = 0;             ///< mean grade to hold, 0..1
  unsigned Weight = 1;                  ///< share when capacity is short
  unsigned MaxInFlight = 0;             ///< 0: no limit of its own

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
  double MaxQualityLoss = 0.05; ///< mean grade it may lose and still be good
  double FalseCutOff = 0.01;    ///< chance to cut off a good version, 0..1

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
  core::Millis Deadline{30'000}; ///< for the whole answer, from its arrival
  core::Millis MaxWait{0}; ///< how long work may wait for capacity; 0: Deadline
  core::Millis DedupWindow{600'000}; ///< how long an idempotency key is kept
  unsigned Shards = 64;              ///< parts of the idempotency-key space
  unsigned MaxQueue = 64;            ///< waiting requests per runner
  unsigned MaxConcurrency = 32; ///< running requests per runner, upper bound
  bool Deferrable = false;      ///< work that waits for idle capacity (drafts)
  bool ChecksFencing = false;   ///< runners refuse an old fencing number
  std::vector<VersionDeclaration> Versions;
  std::vector<OrganisationDeclaration> Organisations;
  std::vector<CallDeclaration> Calls; ///< plain services only
  std::optional<RolloutDeclaration> Rollout;

  [[nodiscard]] const VersionDeclaration *
  findVersion(const core::VersionId &name) const;
  [[nodiscard]] const OrganisationDeclaration *
  findOrganisation(const core::OrganisationId &name) const;
  /// True when `organisation` may run `version` and it is not withdrawn.
  [[nodiscard]] bool permits(const core::OrganisationId &organisation,
                             const core::VersionId &version) const;

  friend auto operator<=>(const ServiceDeclaration &,
                          const ServiceDeclaration &) = default;
};

/// Every service in force together, under one generation.
struct Bundle {
  core::Generation Number;
  std::map<core::ServiceId, ServiceDeclaration> Services;

  [[nodiscard]] const ServiceDeclaration *
  findService(const core::ServiceId &name) const;

  friend auto operator<=>(const Bundle &, const Bundle &) = default;
};

} // namespace cowslipridge::config
