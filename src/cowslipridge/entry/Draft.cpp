#include "cowslipridge/entry/Draft.hpp"

#include "cowslipridge/core/Error.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::entry {

using nlohmann::json;

namespace {

std::string dumpJson(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const json *firstChoice(const json &answer) {
  const auto choices = answer.find("choices");
  const bool found = choices != answer.end() && choices->is_array() &&
                     !choices->empty() && choices->front().is_object();
  return found ? &choices->front() : nullptr;
}

std::optional<double> meanLogProbability(const json &choice) {
  const auto logprobs = choice.find("logprobs");
  if (logprobs == choice.end() || !logprobs->is_object())
    return std::nullopt;
  const auto content = logprobs->find("content");
  if (content == logprobs->end() || !content->is_array() || content->empty())
    return std::nullopt;
  double sum = 0;
  for (const json &it : *content)
    sum += it.is_object() ? it.value("logprob", 0.0) : 0.0;
  return sum / static_cast<double>(content->size());
}

bool wantsLogProbabilities(const std::string &callerBody) {
  const json body = json::parse(callerBody, nullptr, false);
  const auto it = body.is_object() ? body.find("logprobs") : body.end();
  return it != body.end() && it->is_boolean() && it->get<bool>();
}

json makeChunk(const json &answer, const json &choice, json delta) {
  json chunk = answer;
  chunk.erase("usage");
  chunk["object"] = "chat.completion.chunk";
  chunk["choices"] = json::array({{{"index", choice.value("index", 0)},
                                   {"delta", std::move(delta)},
                                   {"finish_reason", nullptr}}});
  return chunk;
}

} // namespace

std::string toDraftBody(const std::string &callerBody) {
  json body = json::parse(callerBody, nullptr, false);
  if (!body.is_object())
    return callerBody;
  body["stream"] = false;
  body.erase("stream_options");
  body["logprobs"] = true;
  return dumpJson(body);
}

core::Result<route::AnswerAttributes>
readDraft(const std::string &text, const core::VersionId &version) {
  const json answer = json::parse(text, nullptr, false);
  const json *choice = answer.is_object() ? firstChoice(answer) : nullptr;
  if (choice == nullptr)
    return core::Errc::RunnerFailed;
  route::AnswerAttributes attributes;
  attributes.Version = version;
  const auto reason = choice->find("finish_reason");
  if (reason != choice->end() && reason->is_string())
    attributes.FinishReason = reason->get<std::string>();
  const auto usage = answer.find("usage");
  if (usage != answer.end() && usage->is_object())
    attributes.AnswerTokens =
        usage->value("completion_tokens", std::uint64_t{0});
  attributes.MeanLogProbability = meanLogProbability(*choice);
  return attributes;
}

std::string toCallerBody(const std::string &text,
                         const std::string &callerBody) {
  json answer = json::parse(text, nullptr, false);
  if (wantsLogProbabilities(callerBody) || !answer.is_object() ||
      firstChoice(answer) == nullptr)
    return text;
  for (json &it : answer["choices"])
    it.erase("logprobs");
  return dumpJson(answer);
}

std::vector<std::string> toChunks(const std::string &text) {
  const json answer = json::parse(text, nullptr, false);
  const json *choice = answer.is_object() ? firstChoice(answer) : nullptr;
  if (choice == nullptr)
    return {};
  const auto message = choice->find("message");
  json delta = message == choice->end() ? json::object() : *message;
  json last = makeChunk(answer, *choice, json::object());
  last["choices"][0]["finish_reason"] = choice->value("finish_reason", "stop");
  return {dumpJson(makeChunk(answer, *choice, std::move(delta))),
          dumpJson(last)};
}

} // namespace cowslipridge::entry
