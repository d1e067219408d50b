#include "cowslipridge/config/DeclarationParser.hpp"

#include "cowslipridge/config/internal/DeclarationRules.hpp"
#include "cowslipridge/config/internal/IniText.hpp"
#include "cowslipridge/config/internal/Names.hpp"
#include "cowslipridge/config/internal/SectionReader.hpp"
#include "cowslipridge/config/internal/Units.hpp"

#include <algorithm>
#include <limits>

namespace cowslipridge::config {

namespace {

using internal::Choice;
using internal::IniSection;
using internal::SectionReader;

constexpr core::Millis MaxDuration{7LL * 24 * 3'600'000};
constexpr unsigned MaxShards = 4'096;
constexpr unsigned MaxCount = 1'000'000;
constexpr double MaxCost = 1e9;
constexpr double MaxFalseCutOff = 0.5;
constexpr double MinFalseCutOff = 1e-9;
constexpr std::size_t KeyHashDigits = 64;

constexpr Choice<ServiceKind> Kinds[] = {{"model", ServiceKind::Model},
                                         {"plain", ServiceKind::Plain}};

constexpr Choice<VersionState> States[] = {
    {"active", VersionState::Active},
    {"trial", VersionState::Trial},
    {"withdrawn", VersionState::Withdrawn}};

struct SectionTitle {
  std::string Kind; ///< `version` in `[version small@3]`
  std::string Name; ///< `small@3`; empty when the title has no name
};

SectionTitle splitTitle(const std::string &title) {
  const std::size_t blank = title.find(' ');
  if (blank == std::string::npos)
    return {title, ""};
  const std::size_t name = title.find_first_not_of(' ', blank);
  const std::size_t end = title.find_last_not_of(' ');
  if (name == std::string::npos)
    return {title.substr(0, blank), ""};
  return {title.substr(0, blank), title.substr(name, end - name + 1)};
}

/// Builds one declaration from its sections.
class Parser {
public:
  Parser(const internal::IniDocument &document, core::Findings &findings)
      : Document(document), Findings(findings) {}

  ServiceDeclaration run() {
    for (const IniSection &section : Document.Sections)
      readSection(section);
    if (!SectionsByName.contains("service"))
      addFinding(0, "service", "the section is missing", "[service]");
    internal::checkRules(Declared, SectionsByName, Document.File, Findings);
    return std::move(Declared);
  }

private:
  void readSection(const IniSection &section) {
    const SectionTitle title = splitTitle(section.Name);
    if (!SectionsByName.emplace(section.Name, &section).second) {
      addFinding(section.Line, section.Name, "the section appears twice",
                 "all its keys in one section");
      return;
    }
    SectionReader reader(Document.File, section, Findings);
    if (title.Kind == "service" && title.Name.empty())
      readService(reader);
    else if (title.Kind == "rollout" && title.Name.empty())
      readRollout(reader);
    else if (title.Kind == "version")
      readVersion(reader, section, title.Name);
    else if (title.Kind == "organisation")
      readOrganisation(reader, section, title.Name);
    else if (title.Kind == "call")
      readCall(reader, section, title.Name);
    else {
      addFinding(section.Line, section.Name, "unknown section",
                 "[service], [version NAME], [organisation NAME], [call NAME] "
                 "or [rollout]");
      return;
    }
    reader.finish();
  }

  void readService(SectionReader &reader) {
    const ServiceDeclaration initial;
    Declared.Name = core::ServiceId(reader.requireName("name", "drafting"));
    Declared.Kind = reader.choice("kind", initial.Kind, Kinds);
    Declared.Deadline = reader.duration("deadline", initial.Deadline,
                                        core::Millis(1), MaxDuration);
    Declared.MaxWait = reader.duration("max_wait", initial.MaxWait,
                                       core::Millis(0), MaxDuration);
    Declared.DedupWindow = reader.duration("dedup_window", initial.DedupWindow,
                                           core::Millis(1'000), MaxDuration);
    Declared.Shards = count(reader, "shards", initial.Shards, 1, MaxShards);
    Declared.MaxQueue =
        count(reader, "max_queue", initial.MaxQueue, 0, MaxCount);
    Declared.MaxConcurrency =
        count(reader, "max_concurrency", initial.MaxConcurrency, 1, MaxCount);
    Declared.Deferrable = reader.flag("deferrable", initial.Deferrable);
    Declared.ChecksFencing =
        reader.flag("checks_fencing", initial.ChecksFencing);
  }

  void readVersion(SectionReader &reader, const IniSection &section,
                   const std::string &name) {
    checkTitleName(section, name, "[version small@1]");
    VersionDeclaration version;
    version.Name = core::VersionId(name);
    version.State = reader.choice("state", version.State, States);
    version.EngineModel = reader.text("engine_model", name);
    version.CostPerThousandTokens =
        reader.decimal("cost_per_1k_tokens", 0, 0, MaxCost);
    version.ExpectedQuality =
        reader.decimal("expected_quality", version.ExpectedQuality, 0, 1);
    Declared.Versions.push_back(std::move(version));
  }

  void readOrganisation(SectionReader &reader, const IniSection &section,
                        const std::string &name) {
    checkTitleName(section, name, "[organisation thrissur-bowls]");
    OrganisationDeclaration tenant;
    tenant.Name = core::OrganisationId(name);
    tenant.KeyHashes = readKeyHashes(reader);
    for (std::string &it : requireList(reader, "allowed", "small@1, large@1"))
      tenant.Allowed.emplace_back(std::move(it));
    tenant.QualityTarget = reader.decimal("quality_target", 0, 0, 1);
    tenant.Weight = count(reader, "weight", tenant.Weight, 1, MaxCount);
    tenant.MaxInFlight =
        count(reader, "max_in_flight", tenant.MaxInFlight, 0, MaxCount);
    Declared.Organisations.push_back(std::move(tenant));
  }

  void readCall(SectionReader &reader, const IniSection &section,
                const std::string &name) {
    checkTitleName(section, name, "[call enter-result]");
    CallDeclaration call;
    call.Name = name;
    call.Method = reader.requireText("method", "POST");
    call.PathPrefix = reader.requireText("path", "/results");
    if (!reader.has("idempotent"))
      reader.fail("idempotent", "the key is missing",
                  "idempotent = no (or yes when the call may be repeated)");
    call.Idempotent = reader.flag("idempotent", false);
    Declared.Calls.push_back(std::move(call));
  }

  void readRollout(SectionReader &reader) {
    RolloutDeclaration rollout;
    rollout.Trial = core::VersionId(reader.requireText("trial", "small@2"));
    rollout.Replaces =
        core::VersionId(reader.requireText("replaces", "small@1"));
    for (const std::string &it :
         requireList(reader, "steps", "0.05, 0.25, 0.5, 1"))
      rollout.Steps.push_back(readStep(reader, it));
    rollout.InitialCredits =
        count(reader, "initial_credits", rollout.InitialCredits, 1, MaxCount);
    rollout.GradesPerStep =
        count(reader, "grades_per_step", rollout.GradesPerStep, 1, MaxCount);
    rollout.MaxQualityLoss =
        reader.decimal("max_quality_loss", rollout.MaxQualityLoss, 0, 1);
    rollout.FalseCutOff = reader.decimal("false_cut_off", rollout.FalseCutOff,
                                         MinFalseCutOff, MaxFalseCutOff);
    Declared.Rollout = std::move(rollout);
  }

  static double readStep(SectionReader &reader, const std::string &text) {
    const auto share = internal::parseDecimal(text);
    if (share)
      return *share;
    reader.fail("steps", "'" + text + "' is not a number",
                "rising shares up to 1, such as 0.05, 0.25, 0.5, 1");
    return std::numeric_limits<double>::quiet_NaN();
  }

  std::vector<std::string> readKeyHashes(SectionReader &reader) {
    const std::string example(KeyHashDigits, '0');
    std::vector<std::string> hashes =
        requireList(reader, "key_hashes", "SHA-256-OF-THE-KEY");
    for (const std::string &it : hashes) {
      if (!internal::isLowerHex(it, KeyHashDigits))
        reader.fail("key_hashes", "'" + it + "' is not a SHA-256 hash",
                    "64 lower-case hexadecimal digits, as sha256sum prints "
                    "them");
    }
    return hashes;
  }

  static std::vector<std::string> requireList(SectionReader &reader,
                                              std::string_view key,
                                              const std::string &example) {
    if (!reader.has(key))
      reader.fail(key, "the key is missing",
                  std::string(key) + " = " + example);
    return reader.list(key);
  }

  static unsigned count(SectionReader &reader, std::string_view key,
                        unsigned fallback, unsigned min, unsigned max) {
    return static_cast<unsigned>(reader.count(key, fallback, min, max));
  }

  void checkTitleName(const IniSection &section, const std::string &name,
                      const std::string &example) {
    if (name.empty())
      addFinding(section.Line, section.Name, "the section has no name",
                 example);
    else if (!internal::isName(name))
      addFinding(section.Line, section.Name, "'" + name + "' is not a name",
                 std::string(internal::NameRule));
  }

  void addFinding(int line, const std::string &section, std::string message,
                  std::string suggestion) {
    Findings.add({.File = Document.File,
                  .Line = line,
                  .Section = section,
                  .Key = "",
                  .Message = std::move(message),
                  .Suggestion = std::move(suggestion)});
  }

  const internal::IniDocument &Document;
  core::Findings &Findings;
  internal::SectionsByTitle SectionsByName;
  ServiceDeclaration Declared;
};

} // namespace

std::optional<ServiceDeclaration> parseDeclaration(std::string_view text,
                                                   const std::string &file,
                                                   core::Findings &findings) {
  const std::size_t before = findings.items().size();
  const internal::IniDocument document =
      internal::readIni(text, file, findings);
  ServiceDeclaration declared = Parser(document, findings).run();
  if (findings.items().size() != before)
    return std::nullopt;
  return declared;
}

void checkConsistency(const std::vector<DeclarationFile> &files,
                      core::Findings &findings) {
  std::map<core::ServiceId, std::string> services;
  std::map<std::string, core::OrganisationId> keyOwners;
  for (const DeclarationFile &it : files) {
    const auto [first, isNew] = services.emplace(it.Service.Name, it.File);
    if (!isNew)
      findings.add({.File = it.File,
                    .Line = 0,
                    .Section = "service",
                    .Key = "name",
                    .Message = "the service '" + it.Service.Name.str() +
                               "' is also declared in " + first->second,
                    .Suggestion = "one file per service"});
    for (const OrganisationDeclaration &tenant : it.Service.Organisations) {
      for (const std::string &hash : tenant.KeyHashes) {
        const auto [owner, unused] = keyOwners.emplace(hash, tenant.Name);
        if (owner->second == tenant.Name)
          continue;
        findings.add({.File = it.File,
                      .Line = 0,
                      .Section = "organisation " + tenant.Name.str(),
                      .Key = "key_hashes",
                      .Message = "the key " + hash +
                                 " also belongs to the organisation '" +
                                 owner->second.str() + "'",
                      .Suggestion = "a key of its own"});
      }
    }
  }
}

} // namespace cowslipridge::config
