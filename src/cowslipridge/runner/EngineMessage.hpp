#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/runner/Runner.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::runner {

/// The data of the event that ends a stream of chat-completion chunks.
constexpr std::string_view EndOfStream = "[DONE]";

/// A caller's chat-completion body as the engine should get it.
struct EngineBody {
  std::string Text;
  bool UsageWanted = false; ///< the caller itself asked for the usage chunk
};

/// Names the engine's model, and asks for the usage of streamed answers.
core::Result<EngineBody> toEngineBody(const Call &call);

/// What one chunk says of one choice.
struct ChoiceReport {
  int Index = 0;
  bool Finished = false; ///< it has a finish reason
};

/// What one chunk or whole answer says.
struct EngineReport {
  std::string AnswerId;
  std::vector<ChoiceReport> Choices;
  Usage Tokens;
  bool HasUsage = false;
  bool UsageOnly = false; ///< a chunk without choices
  bool IsError = false;   ///< the engine reports an error within the stream
};

/// Reads a chunk or a whole answer; Errc::RunnerFailed if it is no JSON object.
core::Result<EngineReport> readReport(std::string_view json);

} // namespace cowslipridge::runner
