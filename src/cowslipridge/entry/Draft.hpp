#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/route/AnswerCheck.hpp"

#include <string>
#include <vector>

namespace cowslipridge::entry {

/// The body of a cascade's first run: not streamed, with log-probabilities.
std::string toDraftBody(const std::string &callerBody);

/// What the check needs of a whole chat completion.
core::Result<route::AnswerAttributes> readDraft(const std::string &answer,
                                                const core::VersionId &version);

/// The answer as its caller asked for it: without log-probabilities that only
/// the check wanted.
std::string toCallerBody(const std::string &answer,
                         const std::string &callerBody);

/// A whole chat completion as the chunks of a streamed one.
std::vector<std::string> toChunks(const std::string &answer);

} // namespace cowslipridge::entry
