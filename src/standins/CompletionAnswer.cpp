#include "standins/CompletionAnswer.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

std::string dump(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string event(const json &value) { return "data: " + dump(value) + "\n\n"; }

json makeChunk(const AnswerMetadata &head) {
  return {{"id", "chatcmpl-" + head.Request},
          {"object", "chat.completion.chunk"},
          {"created", 0},
          {"model", head.Model}};
}

json makeUsage(const AnswerUsage &usage) {
  return {{"prompt_tokens", usage.PromptTokens},
          {"completion_tokens", usage.AnswerTokens},
          {"total_tokens", usage.PromptTokens + usage.AnswerTokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.CachedTokens}}}};
}

} // namespace

std::string answerToken(const AnswerMetadata &head, std::size_t index,
                        std::size_t count) {
  std::string token;
  if (index == 0)
    token = "[" + head.Request + " by " + head.Model + "]";
  token += " " + std::to_string(index + 1) + "/" + std::to_string(count);
  return token;
}

std::string answerText(const AnswerMetadata &head, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i)
    text += answerToken(head, i, count);
  return text;
}

std::string tokenEvent(const AnswerMetadata &head, const std::string &token) {
  json chunk = makeChunk(head);
  chunk["choices"] = json::array({{{"index", 0},
                                   {"delta", {{"content", token}}},
                                   {"finish_reason", nullptr}}});
  return event(chunk);
}

std::string finishEvent(const AnswerMetadata &head) {
  json chunk = makeChunk(head);
  chunk["choices"] = json::array(
      {{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}});
  return event(chunk);
}

std::string usageEvent(const AnswerMetadata &head, const AnswerUsage &usage) {
  json chunk = makeChunk(head);
  chunk["choices"] = json::array();
  chunk["usage"] = makeUsage(usage);
  return event(chunk);
}

std::string doneEvent() { return "data: [DONE]\n\n"; }

std::string completeAnswer(const AnswerMetadata &head,
                           const AnswerUsage &usage) {
  json body = makeChunk(head);
  body["object"] = "chat.completion";
  body["choices"] =
      json::array({{{"index", 0},
                    {"message",
                     {{"role", "assistant"},
                      {"content", answerText(head, usage.AnswerTokens)}}},
                    {"finish_reason", "stop"}}});
  body["usage"] = makeUsage(usage);
  return dump(body);
}

} // namespace cowslipridge::standins
