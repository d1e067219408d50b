#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/route/AnswerCheck.hpp"

#include <string>
#include <vector>

namespace cowslipridge::entry {

/// Returns the request body for the draft, the first attempt of a cascade: not
/// streamed, with log-probabilities.
std::string toDraftBody(const std::string &callerBody);

/// Extracts from a complete chat completion the attributes that the answer
/// check uses. Fails if `answer` is not a chat completion.
core::Result<route::AnswerAttributes> readDraft(const std::string &answer,
                                                const core::VersionId &version);

/// Returns the answer as the caller requested it: without the log-probabilities
/// if only the answer check needed them.
std::string toCallerBody(const std::string &answer,
                         const std::string &callerBody);

/// Converts a complete chat completion to the chunks of a streamed one.
std::vector<std::string> toChunks(const std::string &answer);

} // namespace cowslipridge::entry
