#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/rollout/Evidence.hpp"

#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cowslipridge::rollout {

/// The version gets no more requests (of one organisation, or of all).
struct CutOff {
  core::ServiceId Service;
  core::VersionId Version;
  core::OrganisationId Organisation; ///< empty: all organisations
  std::string Reason;
  friend auto operator<=>(const CutOff &, const CutOff &) = default;
};

/// The roll-out's current step is complete.
struct AdvanceStep {
  core::ServiceId Service;
  core::VersionId Trial;
  unsigned Step = 0; ///< index of the step that is complete
  friend auto operator<=>(const AdvanceStep &, const AdvanceStep &) = default;
};

using RolloutAction = std::variant<CutOff, AdvanceStep>;
using RolloutActions = std::vector<RolloutAction>;

/// Watches the versions of one sidecar's service: admits trial requests within
/// the exposure credits that grades have earned, and cuts bad versions off.
class ExposureGuard {
public:
  /// `self` labels the counters that this process adds.
  ExposureGuard(EvidenceSource self, std::uint64_t seed);
  ~ExposureGuard();

  /// Takes a newer declaration. Evidence is kept; cut-offs and the step are
  /// kept unless the roll-out names other versions.
  void configure(const config::ServiceDeclaration &service);
  /// Whether one more request of `organisation` may run on `version` now. A
  /// version in steady service is always admitted unless it is cut off.
  [[nodiscard]] bool admits(const core::VersionId &version,
                            const core::OrganisationId &organisation) const;
  /// A request was started on `version`.
  void onStart(const core::RequestId &request, const core::VersionId &version,
               const core::OrganisationId &organisation, core::Millis now);
  /// It never ran after all: its credit comes back.
  void onNotRun(const core::RequestId &request);
  /// A grade of a request that was started here; others and repeated ones are
  /// ignored.
  RolloutActions onGrade(const core::RequestId &request, double score,
                         core::Millis now);
  /// Evidence that a peer counted.
  RolloutActions onEvidence(const EvidenceRecord &record, core::Millis now);
  /// A cut-off that a peer or the store knows.
  void onCutOff(const CutOff &cutOff);
  /// How many sidecars serve the trial version, and this one's place among
  /// them (from 0): they share the exposure credits.
  void setPeers(unsigned rank, unsigned count);
  /// Notices lost grades; call it about once a second.
  void advance(core::Millis now);
  /// The step of the roll-out, as the store records it. A lower one than
  /// before is ignored.
  void setStep(unsigned step);
  /// Share of requests that the trial version should get now, 0..1.
  [[nodiscard]] double trialShare() const;
  [[nodiscard]] std::vector<CutOff> cutOffs() const;
  std::vector<EvidenceRecord> takeChangedEvidence(std::size_t limit);

private:
  class State;
  std::unique_ptr<State> Internals;
};

} // namespace cowslipridge::rollout
