#include "standins/CompletionRequest.hpp"

#include <nlohmann/json.hpp>

#include <sstream>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

void appendWords(const std::string &text, std::vector<std::string> &words) {
  std::istringstream in(text);
  std::string word;
  while (in >> word)
    words.push_back(word);
}

void appendContent(const json &content, std::vector<std::string> &words) {
  if (content.is_string()) {
    appendWords(content.get<std::string>(), words);
    return;
  }
  for (const json &part : content)
    if (part.value("type", std::string()) == "text")
      appendWords(part.at("text").get<std::string>(), words);
}

} // namespace

std::optional<CompletionRequest> parseCompletionRequest(std::string_view body) {
  const json object = json::parse(body, nullptr, false);
  CompletionRequest request;
  try {
    request.Model = object.at("model").get<std::string>();
    for (const json &message : object.at("messages"))
      appendContent(message.at("content"), request.PromptTokens);
    request.MaxTokens = object.value("max_tokens", request.MaxTokens);
    request.Stream = object.value("stream", false);
    request.Priority = object.value("priority", 0);
  } catch (const json::exception &) {
    return std::nullopt;
  }
  return request;
}

} // namespace cowslipridge::standins
