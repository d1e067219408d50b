#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/Types.hpp"

#include <memory>
#include <optional>

namespace cowslipridge::route {

/// An answer that was rejected by a cascade's check.
struct RejectedAnswer {
  core::VersionId Version;
  double CheckScore = 0;
};

/// One graded answer, from which the planner learns a version's quality.
struct GradeObservation {
  core::ServiceId Service;
  core::OrganisationId Organisation;
  std::string RequestClass;
  core::VersionId Version;
  double Score = 0;       ///< 0..1
  double CheckScore = -1; ///< score from the cascade's check; -1: not checked
  /// The rejected answer that this answer replaced, if any.
  std::optional<RejectedAnswer> Replaced = std::nullopt;
};

/// One run of a cascade's check, whether it accepted the answer or not.
struct CheckObservation {
  core::ServiceId Service;
  std::string RequestClass;
  core::VersionId Version; ///< version whose answer was checked
  double CheckScore = 0;
};

/// Duration of one complete answer, from sending the request to the last byte.
struct DurationObservation {
  core::ServiceId Service;
  core::VersionId Version;
  core::Millis Elapsed;
};

/// Chooses the cheapest plan that meets each organisation's quality target.
/// Only versions that the declaration permits and no cut-off excludes are
/// chosen.
class Planner {
public:
  explicit Planner(std::uint64_t seed);
  ~Planner();

  /// Returns the plan for one request. `trialShare`, 0..1, is the roll-out's
  /// current share of its trial version: of the requests planned onto the
  /// version that the trial replaces, this share goes to the trial.
  Plan plan(const RequestContext &request,
            const config::ServiceDeclaration &service, const CutOffSet &cutOffs,
            double trialShare, core::Millis now);
  /// Updates the quality estimates with one grade.
  void observe(const GradeObservation &grade, core::Millis now);
  /// Updates the distribution of check scores. A cascade starts only with a
  /// version for which enough answers have been checked.
  void observe(const CheckObservation &check);
  /// Updates the duration estimates, which decide whether a cascade fits the
  /// deadline.
  void observe(const DurationObservation &duration);

private:
  class State;
  std::unique_ptr<State> Impl;
};

} // namespace cowslipridge::route
