#include "cowslipridge/runner/EngineMessage.hpp"

#include "cowslipridge/core/Error.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::runner {

using core::Errc;
using nlohmann::json;

namespace {

std::uint64_t numberAt(const json &object, const char *key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_number_unsigned()
             ? it->get<std::uint64_t>()
             : 0;
}

const json *objectAt(const json &object, const char *key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_object() ? &*it : nullptr;
}

Usage toUsage(const json &usage) {
  Usage tokens;
  tokens.PromptTokens = numberAt(usage, "prompt_tokens");
  tokens.AnswerTokens = numberAt(usage, "completion_tokens");
  if (const json *details = objectAt(usage, "prompt_tokens_details"))
    tokens.CachedTokens = numberAt(*details, "cached_tokens");
  return tokens;
}

std::vector<ChoiceReport> toChoices(const json &choices) {
  std::vector<ChoiceReport> reports;
  for (const json &it : choices) {
    if (!it.is_object())
      continue;
    ChoiceReport report;
    report.Index = static_cast<int>(numberAt(it, "index"));
    const auto reason = it.find("finish_reason");
    report.Finished = reason != it.end() && !reason->is_null();
    reports.push_back(report);
  }
  return reports;
}

} // namespace

core::Result<EngineBody> toEngineBody(const Call &call) {
  json body = json::parse(call.Message.Body, nullptr, false);
  if (!body.is_object())
    return Errc::Malformed;
  EngineBody result;
  if (!call.EngineModel.empty())
    body["model"] = call.EngineModel;
  // Engines without priority scheduling reject any priority but 0.
  if (call.Priority != 0)
    body["priority"] = call.Priority;
  if (call.Stream) {
    body["stream"] = true;
    json &options = body["stream_options"];
    if (!options.is_object())
      options = json::object();
    result.CallerWantsUsage = options.value("include_usage", false);
    options["include_usage"] = true;
  }
  result.Text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return result;
}

core::Result<EngineReport> readReport(std::string_view text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object())
    return Errc::RunnerFailed;
  EngineReport report;
  if (const json *usage = objectAt(body, "usage")) {
    report.HasUsage = true;
    report.Tokens = toUsage(*usage);
  }
  const auto choices = body.find("choices");
  const bool hasChoices = choices != body.end() && choices->is_array();
  report.UsageOnly = report.HasUsage && hasChoices && choices->empty();
  if (hasChoices)
    report.Choices = toChoices(*choices);
  const auto id = body.find("id");
  if (id != body.end() && id->is_string())
    report.AnswerId = id->get<std::string>();
  report.IsError = objectAt(body, "error") != nullptr;
  return report;
}

} // namespace cowslipridge::runner
