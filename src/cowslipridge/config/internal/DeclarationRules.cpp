#include "cowslipridge/config/internal/DeclarationRules.hpp"

#include "cowslipridge/config/internal/SectionReader.hpp"

#include <algorithm>
#include <set>

namespace cowslipridge::config::internal {

namespace {

constexpr std::string_view Methods[] = {"GET",    "PUT",  "POST",
                                        "DELETE", "HEAD", "PATCH"};

class Rules {
public:
  Rules(const ServiceDeclaration &service, const SectionsByTitle &sections,
        const std::string &file, core::Findings &findings)
      : Service(service), Sections(sections), File(file), Findings(findings) {}

  void check() {
    checkService();
    for (const OrganisationDeclaration &it : Service.Organisations)
      checkOrganisation(it);
    checkKeyOwners();
    checkCalls();
    checkRollout();
  }

private:
  void checkService() {
    if (Service.MaxWait > Service.Deadline)
      fail("service", "max_wait", "max_wait is longer than deadline",
           "max_wait no longer than deadline");
    if (Service.Versions.empty())
      fail("service", "", "the service has no version", "[version NAME]");
    if (Service.Organisations.empty())
      fail("service", "", "no organisation may use the service",
           "[organisation NAME]");
  }

  void checkOrganisation(const OrganisationDeclaration &tenant) {
    const std::string section = "organisation " + tenant.Name.str();
    std::set<core::VersionId> seen;
    for (const core::VersionId &it : tenant.Allowed) {
      checkVersion(section, "allowed", it);
      if (!seen.insert(it).second)
        fail(section, "allowed", "'" + it.str() + "' appears twice", "it once");
    }
  }

  void checkKeyOwners() {
    std::map<std::string, core::OrganisationId> owners;
    for (const OrganisationDeclaration &tenant : Service.Organisations) {
      for (const std::string &hash : tenant.KeyHashes) {
        const auto [owner, isNew] = owners.emplace(hash, tenant.Name);
        if (!isNew)
          fail("organisation " + tenant.Name.str(), "key_hashes",
               "the key " + hash + " already belongs to '" +
                   owner->second.str() + "'",
               "a key of its own");
      }
    }
  }

  void checkCalls() {
    if (Service.Kind == ServiceKind::Model && !Service.Calls.empty())
      fail("call " + Service.Calls.front().Name, "",
           "a model service declares no calls", "kind = plain in [service]");
    std::set<std::pair<std::string, std::string>> seen;
    for (const CallDeclaration &it : Service.Calls) {
      const std::string section = "call " + it.Name;
      checkCall(section, it);
      if (!seen.emplace(it.Method, it.PathPrefix).second)
        fail(section, "path", "another call has the same method and path",
             "each method and path once");
    }
  }

  void checkCall(const std::string &section, const CallDeclaration &call) {
    if (!call.Method.empty() &&
        std::find(std::begin(Methods), std::end(Methods), call.Method) ==
            std::end(Methods))
      fail(section, "method", "unknown method '" + call.Method + "'",
           "GET, PUT, POST, DELETE, HEAD or PATCH");
    if (!call.PathPrefix.empty() && call.PathPrefix.front() != '/')
      fail(section, "path", "the path does not begin with '/'",
           "/" + call.PathPrefix);
  }

  void checkRollout() {
    for (const VersionDeclaration &it : Service.Versions) {
      const bool rolled = Service.Rollout && Service.Rollout->Trial == it.Name;
      if (it.State == VersionState::Trial && !rolled)
        fail("version " + it.Name.str(), "state",
             "no [rollout] has this version as its trial",
             "[rollout] with trial = " + it.Name.str());
    }
    if (!Service.Rollout)
      return;
    const RolloutDeclaration &rollout = *Service.Rollout;
    checkVersion("rollout", "trial", rollout.Trial);
    checkVersion("rollout", "replaces", rollout.Replaces);
    checkRolloutStates(rollout);
    checkSteps(rollout.Steps);
  }

  void checkRolloutStates(const RolloutDeclaration &rollout) {
    if (rollout.Trial == rollout.Replaces && !rollout.Trial.empty())
      fail("rollout", "replaces", "a version cannot replace itself",
           "an active version");
    const VersionDeclaration *trial = Service.findVersion(rollout.Trial);
    if (trial != nullptr && trial->State == VersionState::Active)
      fail("rollout", "trial",
           "'" + rollout.Trial.str() + "' is already active",
           "state = trial there, or no [rollout]");
    const VersionDeclaration *replaced = Service.findVersion(rollout.Replaces);
    if (replaced != nullptr && replaced->State == VersionState::Trial)
      fail("rollout", "replaces",
           "'" + rollout.Replaces.str() + "' is itself a trial version",
           "an active version");
  }

  void checkSteps(const std::vector<double> &steps) {
    const bool rising =
        std::adjacent_find(steps.begin(), steps.end(), [](double a, double b) {
          return !(a < b);
        }) == steps.end();
    const bool inRange = std::all_of(steps.begin(), steps.end(),
                                     [](double x) { return x > 0 && x <= 1; });
    if (!steps.empty() && (!rising || !inRange || steps.back() != 1.0))
      fail("rollout", "steps", "the steps do not rise from above 0 to 1",
           "rising shares that end with 1, such as 0.05, 0.25, 0.5, 1");
  }

  void checkVersion(const std::string &section, const std::string &key,
                    const core::VersionId &name) {
    if (name.empty() || Service.findVersion(name) != nullptr)
      return;
    std::vector<std::string> names;
    for (const VersionDeclaration &it : Service.Versions)
      names.push_back(it.Name.str());
    const std::string nearest = nearestWord(name.str(), names);
    fail(section, key, "no version '" + name.str() + "' is declared",
         nearest.empty() ? "[version " + name.str() + "]" : nearest);
  }

  void fail(const std::string &section, const std::string &key,
            std::string message, std::string suggestion) {
    Findings.add({.File = File,
                  .Line = lineOf(section, key),
                  .Section = section,
                  .Key = key,
                  .Message = std::move(message),
                  .Suggestion = std::move(suggestion)});
  }

  [[nodiscard]] int lineOf(const std::string &section,
                           const std::string &key) const {
    const auto found = Sections.find(section);
    if (found == Sections.end())
      return 0;
    for (const IniEntry &it : found->second->Entries) {
      if (it.Key == key)
        return it.Line;
    }
    return found->second->Line;
  }

  const ServiceDeclaration &Service;
  const SectionsByTitle &Sections;
  const std::string &File;
  core::Findings &Findings;
};

} // namespace

void checkRules(const ServiceDeclaration &service,
                const SectionsByTitle &sections, const std::string &file,
                core::Findings &findings) {
  Rules(service, sections, file, findings).check();
}

} // namespace cowslipridge::config::internal
