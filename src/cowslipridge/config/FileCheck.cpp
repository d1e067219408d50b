#include "cowslipridge/config/FileCheck.hpp"

#include "cowslipridge/config/internal/IniText.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cowslipridge::config {

namespace {

using internal::IniDocument;
using internal::IniEntry;
using internal::IniSection;

bool isSettings(const IniDocument &document) {
  return std::any_of(document.Sections.begin(), document.Sections.end(),
                     [](const IniSection &x) { return x.Name == "process"; });
}

int lineOf(const IniDocument &document, const std::string &section,
           const std::string &key) {
  for (const IniSection &it : document.Sections) {
    if (it.Name != section)
      continue;
    for (const IniEntry &entry : it.Entries) {
      if (entry.Key == key)
        return entry.Line;
    }
  }
  return 0;
}

class Checker {
public:
  explicit Checker(core::Findings &findings) : Findings(findings) {}

  CheckedFiles run(const std::vector<SourceFile> &files) {
    for (const SourceFile &it : files)
      read(it);
    checkConsistency(Checked.Declarations, Findings);
    checkInstances();
    if (!Checked.Declarations.empty())
      checkRunners();
    return std::move(Checked);
  }

private:
  void read(const SourceFile &file) {
    // The parsers below report the same syntax errors.
    core::Findings ignored;
    IniDocument document = internal::readIni(file.Text, file.Name, ignored);
    if (isSettings(document)) {
      if (auto settings = parseSettings(file.Text, file.Name, Findings))
        Checked.Settings.push_back({file.Name, std::move(*settings)});
    } else if (auto service =
                   parseDeclaration(file.Text, file.Name, Findings)) {
      Checked.Declarations.push_back({file.Name, std::move(*service)});
    }
    Documents.insert_or_assign(file.Name, std::move(document));
  }

  void checkInstances() {
    std::map<std::string, std::string> names;
    std::map<std::string, std::string> addresses;
    for (const SettingsFile &it : Checked.Settings) {
      claim(names, it.Settings.Instance.str(), it.File, "process", "instance",
            "a name of its own");
      claim(addresses, addressOf(it.Settings, it.Settings.HttpPort), it.File,
            "listen", "http_port", "an address or port of its own");
      if (it.Settings.RpcPort != 0)
        claim(addresses, addressOf(it.Settings, it.Settings.RpcPort), it.File,
              "listen", "rpc_port", "an address or port of its own");
    }
  }

  static std::string addressOf(const DaemonSettings &settings,
                               std::uint16_t port) {
    return settings.Address + ":" + std::to_string(port);
  }

  /// Records that `file` uses `value`; reports it when an earlier file does.
  void claim(std::map<std::string, std::string> &claims,
             const std::string &value, const std::string &file,
             const std::string &section, const std::string &key,
             const std::string &suggestion) {
    const auto [first, isNew] = claims.emplace(value, file);
    if (!isNew)
      fail(file, section, key,
           "'" + value + "' is also used in " + first->second, suggestion);
  }

  void checkRunners() {
    for (const SettingsFile &it : Checked.Settings) {
      if (it.Settings.Runner)
        checkRunner(it.File, *it.Settings.Runner);
    }
  }

  void checkRunner(const std::string &file, const RunnerSettings &runner) {
    const auto declared =
        std::find_if(Checked.Declarations.begin(), Checked.Declarations.end(),
                     [&](const DeclarationFile &x) {
                       return x.Service.Name == runner.Service;
                     });
    if (declared == Checked.Declarations.end()) {
      fail(file, "runner", "service",
           "no file declares the service '" + runner.Service.str() + "'",
           "the name of a declared service");
      return;
    }
    for (const core::VersionId &it : runner.Versions) {
      if (declared->Service.findVersion(it) == nullptr)
        fail(file, "runner", "versions",
             "'" + it.str() + "' is not declared in " + declared->File,
             "a version of that file");
    }
  }

  void fail(const std::string &file, const std::string &section,
            const std::string &key, std::string message,
            std::string suggestion) {
    Findings.add({.File = file,
                  .Line = lineOf(Documents.at(file), section, key),
                  .Section = section,
                  .Key = key,
                  .Message = std::move(message),
                  .Suggestion = std::move(suggestion)});
  }

  core::Findings &Findings;
  CheckedFiles Checked;
  std::map<std::string, IniDocument> Documents;
};

} // namespace

CheckedFiles checkFiles(const std::vector<SourceFile> &files,
                        core::Findings &findings) {
  return Checker(findings).run(files);
}

} // namespace cowslipridge::config
