#include "cowslipridge/route/QualityModel.hpp"

#include <algorithm>
#include <numeric>

namespace cowslipridge::route {

namespace {

/// Factor by which the weight of earlier grades decays at each new grade.
constexpr double GradeDecay = 0.99;
/// Factor by which the counts of check scores decay at each new check.
constexpr double CheckDecay = 0.998;
/// Weight of the declared quality as a prior, in grades.
constexpr double DeclaredWeight = 4;
/// Weight of the version's mean as a prior of a request class's mean, in
/// grades.
constexpr double CoarserWeight = 8;
/// Weight of the class's mean as a prior of one organisation's mean, in grades.
constexpr double ClassWeight = 40;
/// Weight of the class's mean as a prior of one bin of check scores, in grades.
constexpr double BinPriorWeight = 3;
/// Discounted number of checked answers from which a cascade may be planned.
constexpr double MinChecks = 20;

QualityModel::Subject versionOnly(const QualityModel::Subject &subject) {
  return {subject.Service, subject.Version, {}, {}};
}

QualityModel::Subject classOnly(const QualityModel::Subject &subject) {
  return {subject.Service, subject.Version, subject.RequestClass, {}};
}

std::size_t binOf(double checkScore) {
  const double scaled = std::clamp(checkScore, 0.0, 1.0) * CheckBins;
  return std::min(CheckBins - 1, static_cast<std::size_t>(scaled));
}

ScoreMean meanOf(const std::map<QualityModel::Subject, ScoreMean> &means,
                 const QualityModel::Subject &subject) {
  const auto it = means.find(subject);
  return it == means.end() ? ScoreMean() : it->second;
}

} // namespace

void ScoreMean::add(double score, double decay) {
  Sum = Sum * decay + score;
  Weight = Weight * decay + 1;
}

double ScoreMean::shrunkTowards(double prior, double priorWeight) const {
  return (Sum + prior * priorWeight) / (Weight + priorWeight);
}

void QualityModel::addGrade(const Subject &subject, double score) {
  Means[versionOnly(subject)].add(score, GradeDecay);
  Means[classOnly(subject)].add(score, GradeDecay);
  Means[subject].add(score, GradeDecay);
}

void QualityModel::observe(const GradeObservation &grade) {
  const Subject subject{grade.Service, grade.Version, grade.RequestClass,
                        grade.Organisation};
  if (grade.Replaced) {
    BinMeans &means =
        ReplacementMeans[{classOnly(subject), grade.Replaced->Version}];
    means[binOf(grade.Replaced->CheckScore)].add(grade.Score, GradeDecay);
    return;
  }
  if (grade.CheckScore >= 0) {
    Calibration &calibration = Calibrations[classOnly(subject)];
    calibration.Grades[binOf(grade.CheckScore)].add(grade.Score, GradeDecay);
  }
  addGrade(subject, grade.Score);
}

void QualityModel::observe(const CheckObservation &check) {
  Calibration &calibration =
      Calibrations[{check.Service, check.Version, check.RequestClass, {}}];
  for (double &counts : calibration.CheckCounts)
    counts *= CheckDecay;
  calibration.CheckCounts[binOf(check.CheckScore)] += 1;
}

double QualityModel::classGrade(const Subject &subject, double declared) const {
  const double version = meanOf(Means, versionOnly(subject))
                             .shrunkTowards(declared, DeclaredWeight);
  return meanOf(Means, classOnly(subject))
      .shrunkTowards(version, CoarserWeight);
}

double QualityModel::grade(const Subject &subject, double declared) const {
  const double coarse = classGrade(subject, declared);
  return meanOf(Means, subject).shrunkTowards(coarse, ClassWeight);
}

std::array<double, CheckBins>
QualityModel::replacementGrades(const Subject &subject,
                                const core::VersionId &rejected,
                                double declared) const {
  const auto it = ReplacementMeans.find({classOnly(subject), rejected});
  const double plain = grade(subject, declared);
  std::array<double, CheckBins> grades;
  for (std::size_t n = 0; n < CheckBins; ++n)
    grades[n] = it == ReplacementMeans.end()
                    ? plain
                    : it->second[n].shrunkTowards(plain, BinPriorWeight);
  return grades;
}

double QualityModel::gradeWeight(const Subject &subject) const {
  return meanOf(Means, classOnly(subject)).Weight;
}

bool QualityModel::isCalibrated(const Subject &subject) const {
  const auto it = Calibrations.find(classOnly(subject));
  if (it == Calibrations.end())
    return false;
  const auto &counts = it->second.CheckCounts;
  return std::accumulate(counts.begin(), counts.end(), 0.0) >= MinChecks;
}

std::array<CheckBin, CheckBins> QualityModel::checkBins(const Subject &subject,
                                                        double declared) const {
  std::array<CheckBin, CheckBins> bins;
  const auto it = Calibrations.find(classOnly(subject));
  if (it == Calibrations.end())
    return bins;
  const Calibration &calibration = it->second;
  const double all = std::accumulate(calibration.CheckCounts.begin(),
                                     calibration.CheckCounts.end(), 0.0);
  const double coarse = classGrade(subject, declared);
  // The organisation's offset from the class is added to all bins.
  const double shift = grade(subject, declared) - coarse;
  for (std::size_t n = 0; n < CheckBins; ++n) {
    bins[n].Share = calibration.CheckCounts[n] / all;
    const double expected =
        calibration.Grades[n].shrunkTowards(coarse, BinPriorWeight);
    bins[n].Grade = std::clamp(expected + shift, 0.0, 1.0);
  }
  return bins;
}

} // namespace cowslipridge::route
