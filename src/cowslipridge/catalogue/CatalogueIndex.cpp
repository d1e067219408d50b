#include "cowslipridge/catalogue/CatalogueIndex.hpp"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <set>

namespace cowslipridge::catalogue {

namespace {

std::string normalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  std::string name(host.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

std::set<std::string> collectKeys(const Catalogue &catalogue) {
  std::set<std::string> keys;
  if (!catalogue.Organisations)
    return keys;
  for (const Organisation &it : *catalogue.Organisations)
    keys.insert(it.ApiKeys.begin(), it.ApiKeys.end());
  return keys;
}

} // namespace

CatalogueIndex::CatalogueIndex(Catalogue catalogue)
    : Declared(std::move(catalogue)) {
  for (const Route &it : Declared.Routes)
    ByHost[normalizeHost(it.Host)].push_back(&it);
  for (auto &[host, routes] : ByHost) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route *a, const Route *b) {
                       return a->PathPrefix.size() > b->PathPrefix.size();
                     });
  }
  for (const Service &it : Declared.Services)
    ByService.emplace(it.Name, &it);
  if (!Declared.Organisations)
    return;
  for (const Organisation &it : *Declared.Organisations) {
    for (const std::string &key : it.ApiKeys)
      ByKey.emplace(key, &it);
  }
}

const Route *CatalogueIndex::route(std::string_view host,
                                   std::string_view path) const {
  const auto routes = ByHost.find(normalizeHost(host));
  if (routes == ByHost.end())
    return nullptr;
  const auto it = std::find_if(
      routes->second.begin(), routes->second.end(),
      [&](const Route *x) { return path.starts_with(x->PathPrefix); });
  return it == routes->second.end() ? nullptr : *it;
}

const Service *CatalogueIndex::service(const core::ServiceId &name) const {
  const auto it = ByService.find(name);
  return it == ByService.end() ? nullptr : it->second;
}

const Organisation *
CatalogueIndex::findOrganisation(std::string_view key) const {
  const auto it = ByKey.find(std::string(key));
  return it == ByKey.end() ? nullptr : it->second;
}

KeyChanges compareKeys(const Catalogue &older, const Catalogue &newer) {
  const std::set<std::string> before = collectKeys(older);
  const std::set<std::string> after = collectKeys(newer);
  std::vector<std::string> both;
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(both));
  return {after.size(), after.size() - both.size(),
          before.size() - both.size()};
}

} // namespace cowslipridge::catalogue
