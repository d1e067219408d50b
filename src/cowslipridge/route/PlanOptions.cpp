#include "cowslipridge/route/PlanOptions.hpp"

#include <algorithm>

namespace cowslipridge::route {

namespace {

using config::VersionDeclaration;

/// Adds one option for each acceptance threshold of a cascade.
void addCascades(std::vector<PlanOption> &options,
                 const std::array<CheckBin, CheckBins> &bins,
                 const PlanOption &cheap, const PlanOption &better,
                 const std::array<double, CheckBins> &replacements) {
  const auto &from = std::get<SinglePlan>(cheap.Choice).Version;
  const auto &to = std::get<SinglePlan>(better.Choice).Version;
  double rejected = 0;
  double quality = 0;
  for (const CheckBin &bin : bins)
    quality += bin.Share * bin.Grade;
  for (std::size_t n = 1; n < CheckBins; ++n) {
    rejected += bins[n - 1].Share;
    quality += bins[n - 1].Share * (replacements[n - 1] - bins[n - 1].Grade);
    const double acceptAbove = static_cast<double>(n) / CheckBins;
    options.push_back({CascadePlan{from, to, acceptAbove},
                       cheap.Cost + rejected * better.Cost, quality});
  }
}

} // namespace

std::vector<PlanOption> listOptions(
    const QualityModel &model, const config::ServiceDeclaration &service,
    const core::OrganisationId &organisation, const std::string &requestClass,
    const std::vector<const VersionDeclaration *> &versions,
    const std::set<CascadePair> &cascades) {
  std::vector<PlanOption> options;
  const auto subjectOf = [&](const VersionDeclaration &version) {
    return QualityModel::Subject{service.Name, version.Name, requestClass,
                                 organisation};
  };
  options.reserve(versions.size() + cascades.size() * (CheckBins - 1));
  for (const VersionDeclaration *version : versions) {
    options.push_back(
        {SinglePlan{version->Name}, version->CostPerThousandTokens,
         model.grade(subjectOf(*version), version->ExpectedQuality)});
  }
  for (std::size_t i = 0; i < versions.size(); ++i) {
    const VersionDeclaration &cheap = *versions[i];
    if (!model.isCalibrated(subjectOf(cheap)))
      continue;
    const auto bins = model.checkBins(subjectOf(cheap), cheap.ExpectedQuality);
    for (std::size_t j = 0; j < versions.size(); ++j) {
      const VersionDeclaration &better = *versions[j];
      if (!cascades.contains({cheap.Name, better.Name}))
        continue;
      // Copied because adding options may reallocate the vector.
      const PlanOption from = options[i];
      const PlanOption to = options[j];
      addCascades(options, bins, from, to,
                  model.replacementGrades(subjectOf(better), cheap.Name,
                                          better.ExpectedQuality));
    }
  }
  return options;
}

const PlanOption &bestOption(const std::vector<PlanOption> &options,
                             double price) {
  return *std::max_element(options.begin(), options.end(),
                           [price](const PlanOption &a, const PlanOption &b) {
                             const double utilityA = price * a.Quality - a.Cost;
                             const double utilityB = price * b.Quality - b.Cost;
                             return utilityA == utilityB ? a.Cost > b.Cost
                                                         : utilityA < utilityB;
                           });
}

} // namespace cowslipridge::route
