#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/Types.hpp"

#include <memory>
#include <optional>

namespace cowslipridge::route {

/// The answer that a cascade's check rejected.
struct RejectedAnswer {
  core::VersionId Version;
  double CheckScore = 0;
};

/// One graded answer, as learnt by the planner.
struct GradeObservation {
  core::ServiceId Service;
  core::OrganisationId Organisation;
  std::string RequestClass;
  core::VersionId Version;
  double Score = 0;       ///< 0..1
  double CheckScore = -1; ///< the cascade check's score of it; -1: not checked
  /// What this answer replaced, when a cascade's check had rejected one.
  std::optional<RejectedAnswer> Replaced = std::nullopt;
};

/// One run of a cascade's check, whether it kept the answer or not.
struct CheckObservation {
  core::ServiceId Service;
  std::string RequestClass;
  core::VersionId Version; ///< whose answer was checked
  double CheckScore = 0;
};

/// How long one whole answer took, from sending to its last byte.
struct DurationObservation {
  core::ServiceId Service;
  core::VersionId Version;
  core::Millis Elapsed;
};

/// Chooses the cheapest plan that holds each organisation's quality target.
/// Only versions that the declaration permits and no cut-off bars are chosen.
class Planner {
public:
  explicit Planner(std::uint64_t seed);
  ~Planner();

  /// The plan for one request. `trialShare` is the share of requests that a
  /// roll-out gives its trial version now, 0..1: of the requests planned onto
  /// the version that the trial replaces, that share goes to the trial.
  Plan plan(const RequestContext &request,
            const config::ServiceDeclaration &service, const CutOffSet &cutOffs,
            double trialShare, core::Millis now);
  /// Learns from one grade.
  void observe(const GradeObservation &grade, core::Millis now);
  /// Learns how check scores are spread. Cascades are planned only onto
  /// versions whose answers have been checked.
  void observe(const CheckObservation &check);
  /// Learns how long answers take, so that cascades fit their deadline.
  void observe(const DurationObservation &duration);

private:
  class State;
  std::unique_ptr<State> Impl;
};

} // namespace cowslipridge::route
