#include "standins/CompletionAnswer.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

std::string dump(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string event(const json &value) { return "data: " + dump(value) + "\n\n"; }

json makeChunk(const AnswerMetadata &metadata) {
  return {{"id", "chatcmpl-" + metadata.Request},
          {"object", "chat.completion.chunk"},
          {"created", 0},
          {"model", metadata.Model}};
}

json makeUsage(const AnswerUsage &usage) {
  return {{"prompt_tokens", usage.PromptTokens},
          {"completion_tokens", usage.AnswerTokens},
          {"total_tokens", usage.PromptTokens + usage.AnswerTokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.CachedTokens}}}};
}

} // namespace

std::string answerToken(const AnswerMetadata &metadata, std::size_t index,
                        std::size_t count) {
  std::string token;
  if (index == 0)
    token = "[" + metadata.Request + " by " + metadata.Model + "]";
  token += " " + std::to_string(index + 1) + "/" + std::to_string(count);
  return token;
}

std::string answerText(const AnswerMetadata &metadata, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i)
    text += answerToken(metadata, i, count);
  return text;
}

std::string tokenEvent(const AnswerMetadata &metadata,
                       const std::string &token) {
  json chunk = makeChunk(metadata);
  chunk["choices"] = json::array({{{"index", 0},
                                   {"delta", {{"content", token}}},
                                   {"finish_reason", nullptr}}});
  return event(chunk);
}

std::string finishEvent(const AnswerMetadata &metadata) {
  json chunk = makeChunk(metadata);
  chunk["choices"] = json::array(
      {{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}});
  return event(chunk);
}

std::string usageEvent(const AnswerMetadata &metadata,
                       const AnswerUsage &usage) {
  json chunk = makeChunk(metadata);
  chunk["choices"] = json::array();
  chunk["usage"] = makeUsage(usage);
  return event(chunk);
}

std::string doneEvent() { return "data: [DONE]\n\n"; }

std::string completeAnswer(const AnswerMetadata &metadata,
                           const AnswerUsage &usage) {
  json body = makeChunk(metadata);
  body["object"] = "chat.completion";
  body["choices"] =
      json::array({{{"index", 0},
                    {"message",
                     {{"role", "assistant"},
                      {"content", answerText(metadata, usage.AnswerTokens)}}},
                    {"finish_reason", "stop"}}});
  body["usage"] = makeUsage(usage);
  return dump(body);
}

} // namespace cowslipridge::standins
