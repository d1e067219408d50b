#pragma once

#include <cstddef>
#include <string>

namespace cowslipridge::standins {

/// The request that an answer belongs to and the model that generated it.
struct AnswerMetadata {
  std::string Request;
  std::string Model;
};

struct AnswerUsage {
  std::size_t PromptTokens = 0;
  std::size_t CachedTokens = 0;
  std::size_t AnswerTokens = 0;
};

/// Returns token `index` of an answer of `count` tokens. The text names its
/// request and model and numbers its tokens, so that a test detects mixed-up
/// answers and missing tokens.
std::string answerToken(const AnswerMetadata &metadata, std::size_t index,
                        std::size_t count);
/// Returns the complete text of an answer of `count` tokens.
std::string answerText(const AnswerMetadata &metadata, std::size_t count);

/// Returns a server-sent event with one token of the answer.
std::string tokenEvent(const AnswerMetadata &metadata,
                       const std::string &token);
/// Return the last events of a stream: the finish reason, the token usage and
/// the `[DONE]` marker.
std::string finishEvent(const AnswerMetadata &metadata);
std::string usageEvent(const AnswerMetadata &metadata,
                       const AnswerUsage &usage);
std::string doneEvent();

/// Returns the body of an answer that is not streamed.
std::string completeAnswer(const AnswerMetadata &metadata,
                           const AnswerUsage &usage);

} // namespace cowslipridge::standins
