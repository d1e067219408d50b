#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/runner/Runner.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::runner {

/// Data of the event that ends a stream of chat-completion chunks.
constexpr std::string_view EndOfStream = "[DONE]";

/// A caller's chat-completion body, rewritten for the engine.
struct EngineBody {
  std::string Text;
  bool CallerWantsUsage =
      false; ///< the caller itself asked for the usage chunk
};

/// Sets the engine's model name and, for streamed answers, requests the usage
/// chunk. Returns Errc::Malformed if the body is not a JSON object.
core::Result<EngineBody> toEngineBody(const Call &call);

/// The state of one choice, as reported by one chunk.
struct ChoiceReport {
  int Index = 0;
  bool Finished = false; ///< it has a finish reason
};

/// The contents of one chunk or of one complete answer.
struct EngineReport {
  std::string AnswerId;
  std::vector<ChoiceReport> Choices;
  Usage Tokens;
  bool HasUsage = false;
  bool UsageOnly = false; ///< a chunk without choices
  bool IsError = false;   ///< the engine reported an error in the body
};

/// Parses a chunk or a complete answer. Returns Errc::RunnerFailed if it is not
/// a JSON object.
core::Result<EngineReport> readReport(std::string_view json);

} // namespace cowslipridge::runner
