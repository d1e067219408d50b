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

/// The version gets no more requests, either of one organisation or of all.
struct CutOff {
  core::ServiceId Service;
  core::VersionId Version;
  core::OrganisationId Organisation; ///< empty: all organisations
  std::string Reason;
  friend auto operator<=>(const CutOff &, const CutOff &) = default;
};

/// The current step of the roll-out is complete.
struct AdvanceStep {
  core::ServiceId Service;
  core::VersionId Trial;
  unsigned Step = 0; ///< index of the completed step
  friend auto operator<=>(const AdvanceStep &, const AdvanceStep &) = default;
};

using RolloutAction = std::variant<CutOff, AdvanceStep>;
using RolloutActions = std::vector<RolloutAction>;

/// Monitors the versions of the service of one sidecar: admits requests to the
/// trial version within its exposure credits, which grow with the received
/// grades, and cuts off versions whose grades are too low.
class ExposureGuard {
public:
  /// `self` identifies the counters of this process.
  ExposureGuard(EvidenceSource self, std::uint64_t seed);
  ~ExposureGuard();

  /// Applies a newer declaration. Evidence is kept. Cut-offs and the step are
  /// reset if the roll-out is between other versions than before.
  void configure(const config::ServiceDeclaration &service);
  /// Returns whether one more request of `organisation` may run on `version`
  /// now. A version that is not on trial is always admitted unless it is cut
  /// off.
  [[nodiscard]] bool admits(const core::VersionId &version,
                            const core::OrganisationId &organisation) const;
  /// Handles the start of a request on `version`.
  void onStart(const core::RequestId &request, const core::VersionId &version,
               const core::OrganisationId &organisation, core::Millis now);
  /// Releases the credit of a started request that never ran.
  void onNotRun(const core::RequestId &request);
  /// Handles the grade of a request that was started here. Grades of other
  /// requests and repeated grades are ignored.
  RolloutActions onGrade(const core::RequestId &request, double score,
                         core::Millis now);
  /// Merges evidence that a peer counted.
  RolloutActions onEvidence(const EvidenceRecord &record, core::Millis now);
  /// Applies a cut-off that was received from a peer or the store.
  void onCutOff(const CutOff &cutOff);
  /// Sets how many sidecars serve the trial version and the rank of this one
  /// among them, from 0. These sidecars share the exposure credits.
  void setPeers(unsigned rank, unsigned count);
  /// Detects lost grades and releases their credits; call it about once a
  /// second.
  void advance(core::Millis now);
  /// Sets the step of the roll-out as recorded in the store. A step that is not
  /// higher than the present one is ignored.
  void setStep(unsigned step);
  /// Returns the share of requests that the trial version should get now, 0..1.
  [[nodiscard]] double trialShare() const;
  [[nodiscard]] std::vector<CutOff> cutOffs() const;
  std::vector<EvidenceRecord> takeChangedEvidence(std::size_t limit);

private:
  class State;
  std::unique_ptr<State> Internals;
};

} // namespace cowslipridge::rollout
