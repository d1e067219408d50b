#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::standins {

/// The fields of a chat-completions body that the engine uses.
struct CompletionRequest {
  std::string Model;
  /// Words of all messages; each counts as one token.
  std::vector<std::string> PromptTokens;
  std::size_t MaxTokens = 16;
  bool Stream = false;
  int Priority = 0; ///< lower runs first
};

/// Returns nothing when the body is not a chat-completions request.
std::optional<CompletionRequest> parseCompletionRequest(std::string_view body);

} // namespace cowslipridge::standins
