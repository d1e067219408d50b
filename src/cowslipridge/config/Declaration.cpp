#include "cowslipridge/config/Declaration.hpp"

#include <algorithm>

namespace cowslipridge::config {

namespace {

template <typename Items, typename Name>
auto findByName(const Items &items, const Name &name) {
  const auto it = std::find_if(items.begin(), items.end(),
                               [&](const auto &x) { return x.Name == name; });
  return it == items.end() ? nullptr : &*it;
}

} // namespace

const VersionDeclaration *
ServiceDeclaration::findVersion(const core::VersionId &name) const {
  return findByName(Versions, name);
}

const OrganisationDeclaration *
ServiceDeclaration::findOrganisation(const core::OrganisationId &name) const {
  return findByName(Organisations, name);
}

bool ServiceDeclaration::permits(const core::OrganisationId &organisation,
                                 const core::VersionId &version) const {
  const VersionDeclaration *declared = findVersion(version);
  const OrganisationDeclaration *tenant = findOrganisation(organisation);
  if (declared == nullptr || tenant == nullptr)
    return false;
  if (declared->State == VersionState::Withdrawn)
    return false;
  return std::find(tenant->Allowed.begin(), tenant->Allowed.end(), version) !=
         tenant->Allowed.end();
}

const ServiceDeclaration *
Bundle::findService(const core::ServiceId &name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : &it->second;
}

} // namespace cowslipridge::config
