#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::standins {

/// What the engine takes from a chat-completions body.
struct CompletionRequest {
  std::string Model;
  std::vector<std::string> PromptTokens; ///< the words of all messages
  std::size_t MaxTokens = 16;
  bool Stream = false;
  int Priority = 0; ///< lower runs first
};

/// Nothing when the body is no chat-completions request.
std::optional<CompletionRequest> parseCompletionRequest(std::string_view body);

} // namespace cowslipridge::standins
