#pragma once

#include "cowslipridge/route/Planner.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace cowslipridge::route {

/// Exponentially weighted mean of scores.
struct ScoreMean {
  double Sum = 0;
  double Weight = 0;

  void add(double score, double decay);
  /// Returns the mean, shrunk towards `prior` with the weight of `priorWeight`
  /// scores.
  [[nodiscard]] double shrunkTowards(double prior, double priorWeight) const;
};

/// Number of equal bins over the range of check scores.
inline constexpr std::size_t CheckBins = 10;

/// Calibration of one bin of check scores.
struct CheckBin {
  double Share = 0; ///< share of all checked answers
  double Grade = 0; ///< expected grade of an accepted answer
};

/// Estimates the expected grade of each version from observed grades.
///
/// There is a hierarchy of estimates: for the version, for each request class,
/// and for each organisation's requests of a class. A finer estimate is shrunk
/// towards the coarser one, less so as its own grades accumulate.
class QualityModel {
public:
  /// Identifies an estimate.
  struct Subject {
    core::ServiceId Service;
    core::VersionId Version;
    std::string RequestClass;
    core::OrganisationId Organisation;
    friend auto operator<=>(const Subject &, const Subject &) = default;
  };

  void observe(const GradeObservation &grade);
  void observe(const CheckObservation &check);

  /// Returns the expected grade of an answer without a cascade. `declared` is
  /// the prior until grades are observed.
  [[nodiscard]] double grade(const Subject &subject, double declared) const;
  /// Returns the expected grade of an answer that replaces a rejected answer of
  /// the version `rejected`, for each bin of the rejected answer's check score.
  [[nodiscard]] std::array<double, CheckBins>
  replacementGrades(const Subject &subject, const core::VersionId &rejected,
                    double declared) const;
  /// Returns the discounted number of grades for the subject's request class.
  [[nodiscard]] double gradeWeight(const Subject &subject) const;
  /// Returns true if enough answers of the subject's class have been checked to
  /// plan a cascade.
  [[nodiscard]] bool isCalibrated(const Subject &subject) const;
  /// Returns the calibration of each bin of check scores, in ascending order.
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
  /// Adds the score to the mean of the version, the class and the organisation.
  void addGrade(const Subject &subject, double score);

  std::map<Subject, ScoreMean> Means;
  std::map<std::pair<Subject, core::VersionId>, BinMeans> ReplacementMeans;
  std::map<Subject, Calibration> Calibrations;
};

} // namespace cowslipridge::route
