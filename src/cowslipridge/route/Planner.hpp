#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/Types.hpp"

#include <memory>

namespace cowslipridge::route {

/// One graded answer, as learnt by the planner.
struct GradeObservation {
  core::ServiceId Service;
  core::OrganisationId Organisation;
  std::string RequestClass;
  core::VersionId Version;
  double Score = 0;       ///< 0..1
  double CheckScore = -1; ///< the cascade check's score of it; -1: not checked
};

/// Chooses the cheapest plan that holds each organisation's quality target.
/// Only versions that the declaration permits and no cut-off bars are chosen.
class Planner {
public:
  explicit Planner(std::uint64_t seed);
  ~Planner();

  /// The plan for one request. `trialShare` is the share of requests that a
  /// roll-out gives its trial version now, 0..1.
  Plan plan(const RequestFacts &facts,
            const config::ServiceDeclaration &service, const CutOffSet &cutOffs,
            double trialShare, core::Millis now);
  /// Learns from one grade.
  void observe(const GradeObservation &grade, core::Millis now);

private:
  class State;
  std::unique_ptr<State> Learnt;
};

} // namespace cowslipridge::route
