#pragma once

#include "cowslipridge/route/Planner.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace cowslipridge::route {

/// Discounted mean of scores.
struct ScoreMean {
  double Sum = 0;
  double Weight = 0;

  void add(double score, double decay);
  /// The mean, pulled towards `prior` with the weight of `priorWeight` scores.
  [[nodiscard]] double shrunkTowards(double prior, double priorWeight) const;
};

/// Number of equal parts that check scores are sorted into.
inline constexpr std::size_t CheckBins = 10;

/// What one part of the check scores is worth.
struct CheckBin {
  double Share = 0; ///< of all checked answers
  double Grade = 0; ///< expected grade of a kept answer
};

/// The expected grades of one version, learnt from grades.
///
/// Estimates are kept for the version, for each request class, and for each
/// organisation's requests of a class. A finer estimate starts from the coarser
/// one and leaves it as its own grades come in.
class QualityModel {
public:
  /// What an estimate is asked for.
  struct Subject {
    core::ServiceId Service;
    core::VersionId Version;
    std::string RequestClass;
    core::OrganisationId Organisation;
    friend auto operator<=>(const Subject &, const Subject &) = default;
  };

  void observe(const GradeObservation &grade);
  void observe(const CheckObservation &check);

  /// Expected grade of a plain answer. `declared` is used until grades come.
  [[nodiscard]] double grade(const Subject &subject, double declared) const;
  /// Expected grade of an answer that replaces a rejected one of `rejected`,
  /// for each part of the rejected answer's check scores.
  [[nodiscard]] std::array<double, CheckBins>
  replacementGrades(const Subject &subject, const core::VersionId &rejected,
                    double declared) const;
  /// Grades behind the estimate for the subject's class, discounted.
  [[nodiscard]] double gradeWeight(const Subject &subject) const;
  /// True when check scores of the subject's class are known well enough.
  [[nodiscard]] bool isCalibrated(const Subject &subject) const;
  /// What each part of the check scores is worth, from low to high scores.
  [[nodiscard]] std::array<CheckBin, CheckBins>
  checkBins(const Subject &subject, double declared) const;

private:
  using BinMeans = std::array<ScoreMean, CheckBins>;

  struct Calibration {
    std::array<double, CheckBins> CheckCounts{};
    BinMeans Grades{};
  };

  [[nodiscard]] double classGrade(const Subject &subject,
                                  double declared) const;
  /// Adds to the version's, the class's and the organisation's mean.
  void addGrade(const Subject &subject, double score);

  std::map<Subject, ScoreMean> Means;
  std::map<std::pair<Subject, core::VersionId>, BinMeans> ReplacementMeans;
  std::map<Subject, Calibration> Calibrations;
};

} // namespace cowslipridge::route
