#pragma once

#include <cstddef>
#include <string>

namespace cowslipridge::standins {

/// Who an answer is for and what made it.
struct AnswerMetadata {
  std::string Request;
  std::string Model;
};

struct AnswerUsage {
  std::size_t PromptTokens = 0;
  std::size_t CachedTokens = 0;
  std::size_t AnswerTokens = 0;
};

/// Token `index` of an answer of `count` tokens. The text names its request
/// and model and numbers its tokens, so that a test sees any mixture or gap.
std::string answerToken(const AnswerMetadata &head, std::size_t index,
                        std::size_t count);
/// The whole text of an answer of `count` tokens.
std::string answerText(const AnswerMetadata &head, std::size_t count);

/// One server-sent event with a token of the answer.
std::string tokenEvent(const AnswerMetadata &head, const std::string &token);
/// The last events: why the answer ended, its usage, and the end mark.
std::string finishEvent(const AnswerMetadata &head);
std::string usageEvent(const AnswerMetadata &head, const AnswerUsage &usage);
std::string doneEvent();

/// The body of an answer that is not streamed.
std::string completeAnswer(const AnswerMetadata &head,
                           const AnswerUsage &usage);

} // namespace cowslipridge::standins
