#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Random.hpp"

#include <optional>
#include <string>
#include <vector>

/// Experiments on how many requests a bad version serves.
namespace cowslipridge::exposure {

/// What the trial version is like, and how its grades come.
struct Scenario {
  std::string Name;
  double GoodMean = 0.85;
  double BadMean = 0.55;
  bool TrialIsBad = false;
  core::Millis BadFrom;         ///< when TrialIsBad
  bool OneOrganisation = false; ///< bad for the largest one alone
  core::Millis MeanGradeDelay{1'000};
  double MissingGrades = 0;
  core::Millis RatingDownFrom{-1}; ///< no grade of answers after this time
  core::Millis RatingDownTo{-1};   ///< comes before this one
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
  /// Whether the trial version answers this organisation badly now.
  [[nodiscard]] bool isBad(unsigned organisation, core::Millis now) const;
  double score(bool isTrial, unsigned organisation, core::Millis now);
  /// When the grade of an answer given now comes; nothing when it never does.
  std::optional<core::Millis> gradeAt(core::Millis now);
  core::Random &random() { return Draw; }
  [[nodiscard]] const Scenario &scenario() const { return Facts; }

private:
  Scenario Facts;
  core::Random Draw;
};

} // namespace cowslipridge::exposure
