#pragma once

#include "cowslipridge/route/QualityModel.hpp"

#include <set>
#include <vector>

namespace cowslipridge::route {

/// One plan with its expected cost and quality.
struct PlanOption {
  Plan Choice;
  double Cost = 0; ///< per thousand tokens, summed over the runs of a cascade
  double Quality = 0; ///< expected grade
};

/// First and second version of a possible cascade.
struct CascadePair {
  core::VersionId Cheap;
  core::VersionId Better;
  friend auto operator<=>(const CascadePair &, const CascadePair &) = default;
};

/// Returns every plan over `versions` with its expected cost and grade: each
/// version alone, and each pair in `cascades` at each acceptance threshold.
std::vector<PlanOption> listOptions(
    const QualityModel &model, const config::ServiceDeclaration &service,
    const core::OrganisationId &organisation, const std::string &requestClass,
    const std::vector<const config::VersionDeclaration *> &versions,
    const std::set<CascadePair> &cascades);

/// Returns the option with the highest `price * Quality - Cost`; in a tie, the
/// cheaper one. `options` must not be empty.
const PlanOption &bestOption(const std::vector<PlanOption> &options,
                             double price);

} // namespace cowslipridge::route
