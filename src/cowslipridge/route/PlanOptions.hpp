#pragma once

#include "cowslipridge/route/QualityModel.hpp"

#include <set>
#include <vector>

namespace cowslipridge::route {

/// One plan with what it is expected to give.
struct PlanOption {
  Plan Choice;
  double Cost = 0;    ///< per thousand tokens, all runs of a cascade together
  double Quality = 0; ///< expected grade
};

/// Versions that a cascade may start with and end with.
struct CascadePair {
  core::VersionId Cheap;
  core::VersionId Better;
  friend auto operator<=>(const CascadePair &, const CascadePair &) = default;
};

/// Every plan over `versions` with its expected cost and grade: each version
/// alone, and each pair in `cascades` at each acceptance score.
std::vector<PlanOption> listOptions(
    const QualityModel &model, const config::ServiceDeclaration &service,
    const core::OrganisationId &organisation, const std::string &requestClass,
    const std::vector<const config::VersionDeclaration *> &versions,
    const std::set<CascadePair> &cascades);

/// The option with the highest `price * Quality - Cost`; a tie goes to the
/// cheaper one. `options` must not be empty.
const PlanOption &bestOption(const std::vector<PlanOption> &options,
                             double price);

} // namespace cowslipridge::route
