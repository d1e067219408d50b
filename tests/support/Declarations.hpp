#pragma once

#include "cowslipridge/config/Declaration.hpp"

#include <string>
#include <vector>

/// Builds declarations for tests and experiments.
namespace cowslipridge::support {

inline config::VersionDeclaration
makeVersion(const std::string &name, double cost, double quality,
            config::VersionState state = config::VersionState::Active) {
  return {core::VersionId(name), state, name, cost, quality};
}

inline config::OrganisationDeclaration
makeOrganisation(const std::string &name,
                 const std::vector<std::string> &allowed, double target) {
  config::OrganisationDeclaration organisation;
  organisation.Name = core::OrganisationId(name);
  for (const std::string &version : allowed)
    organisation.Allowed.emplace_back(version);
  organisation.QualityTarget = target;
  return organisation;
}

} // namespace cowslipridge::support
