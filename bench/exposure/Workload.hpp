#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"

#include <optional>
#include <string>
#include <vector>

/// Experiments that count the requests served by a bad trial version.
namespace cowslipridge::exposure {

/// Describes the quality of the trial version and the delivery of grades.
struct Scenario {
  std::string Name;
  double GoodMean = 0.85;
  double BadMean = 0.55;
  bool TrialIsBad = false;
  core::Millis BadFrom;         ///< start of bad answers if `TrialIsBad`
  bool OneOrganisation = false; ///< bad only for the largest one
  core::Millis MeanGradeDelay{1'000};
  double MissingGrades = 0;
  /// Outage of the rating service: grades due from `RatingDownFrom` until just
  /// before `RatingDownTo` are lost.
  core::Millis RatingDownFrom{-1};
  core::Millis RatingDownTo{-1};
};

std::vector<Scenario> allScenarios();

constexpr unsigned OrganisationCount = 8;
constexpr double RequestsPerSecond = 40;

config::ServiceDeclaration declareService();
core::OrganisationId organisationOf(unsigned index);

/// Draws arrivals, organisations, scores and grade delays of one run.
class Workload {
public:
  Workload(Scenario scenario, std::uint64_t seed);

  core::Millis nextGap();
  unsigned nextOrganisation();
  /// Returns whether the trial version gives this organisation bad answers now.
  [[nodiscard]] bool isBad(unsigned organisation, core::Millis now) const;
  double score(bool isTrial, unsigned organisation, core::Millis now);
  /// Returns the time at which the grade of an answer given now arrives, or
  /// nothing if it never arrives.
  std::optional<core::Millis> gradeAt(core::Millis now);
  core::Random &random() { return Random; }
  [[nodiscard]] const Scenario &scenario() const { return Settings; }

private:
  Scenario Settings;
  core::Random Random;
};

} // namespace cowslipridge::exposure
