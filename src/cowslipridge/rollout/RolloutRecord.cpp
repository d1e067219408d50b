#include "cowslipridge/rollout/RolloutRecord.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Visit.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cowslipridge::rollout {

namespace {

using Json = nlohmann::json;

Json encodeCutOff(const CutOff &cutOff) {
  return {{"service", cutOff.Service.str()},
          {"version", cutOff.Version.str()},
          {"organisation", cutOff.Organisation.str()},
          {"reason", cutOff.Reason}};
}

CutOff decodeCutOff(const Json &json) {
  return {core::ServiceId(json.at("service").get<std::string>()),
          core::VersionId(json.at("version").get<std::string>()),
          core::OrganisationId(json.at("organisation").get<std::string>()),
          json.at("reason").get<std::string>()};
}

bool haveSameScope(const CutOff &a, const CutOff &b) {
  return a.Service == b.Service && a.Version == b.Version &&
         a.Organisation == b.Organisation;
}

const CutOff *trialCutOff(const RolloutRecord &record) {
  for (const CutOff &it : record.CutOffs) {
    if (it.Version == record.Trial && it.Organisation.empty())
      return &it;
  }
  return nullptr;
}

void addCutOff(RolloutRecord &record, const CutOff &cutOff) {
  const bool known =
      std::any_of(record.CutOffs.begin(), record.CutOffs.end(),
                  [&](const CutOff &x) { return haveSameScope(x, cutOff); });
  if (!known)
    record.CutOffs.insert(cutOff);
}

void advance(RolloutRecord &record, const AdvanceStep &action) {
  const bool isNext =
      action.Trial == record.Trial && action.Step == record.Step;
  if (isNext && trialCutOff(record) == nullptr)
    ++record.Step;
}

} // namespace

RolloutState stateOf(const RolloutRecord &record,
                     const config::RolloutDeclaration &declared) {
  if (const CutOff *cutOff = trialCutOff(record))
    return RolloutCutOff{cutOff->Reason};
  if (record.Step >= declared.Steps.size())
    return RolloutComplete{};
  return RolloutRunning{record.Step, declared.Steps[record.Step]};
}

std::optional<RolloutRecord>
currentRecord(const std::optional<RolloutRecord> &stored,
              const config::RolloutDeclaration &declared,
              core::Generation generation) {
  const RolloutRecord fresh{
      generation, declared.Trial, declared.Replaces, 0, {}};
  if (!stored)
    return fresh;
  if (stored->Trial == declared.Trial && stored->Replaces == declared.Replaces)
    return stored;
  if (stored->Configuration >= generation)
    return std::nullopt;
  return fresh;
}

RolloutRecord apply(RolloutRecord record, const RolloutAction &action) {
  std::visit(
      core::Overloaded{[&](const CutOff &x) { addCutOff(record, x); },
                       [&](const AdvanceStep &x) { advance(record, x); }},
      action);
  return record;
}

std::string encodeRecord(const RolloutRecord &record) {
  Json cutOffs = Json::array();
  for (const CutOff &it : record.CutOffs)
    cutOffs.push_back(encodeCutOff(it));
  const Json json = {{"generation", record.Configuration.value()},
                     {"trial", record.Trial.str()},
                     {"replaces", record.Replaces.str()},
                     {"step", record.Step},
                     {"cut_offs", std::move(cutOffs)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

core::Result<RolloutRecord> decodeRecord(const std::string &text) {
  try {
    const Json json = Json::parse(text);
    if (!json.at("generation").is_number_unsigned() ||
        !json.at("step").is_number_unsigned())
      return core::Errc::Malformed;
    RolloutRecord record{
        core::Generation(json.at("generation").get<std::uint64_t>()),
        core::VersionId(json.at("trial").get<std::string>()),
        core::VersionId(json.at("replaces").get<std::string>()),
        json.at("step").get<unsigned>(),
        {}};
    for (const Json &it : json.at("cut_offs"))
      record.CutOffs.insert(decodeCutOff(it));
    return record;
  } catch (const Json::exception &) {
    return core::Errc::Malformed;
  }
}

} // namespace cowslipridge::rollout
