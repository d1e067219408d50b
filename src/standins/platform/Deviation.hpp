#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/http1/Server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::standins::platform {

/// What a runner does with a request other than to answer it well. The protocol
/// allows all of them.
enum class Deviation {
  StatedRefusal,   ///< does not run it and says so
  CopiedRefusal,   ///< the same, and sends the refusal once more, ahead of the
                   ///< next response of the connection
  UnstatedRefusal, ///< runs it and refuses it, without saying that it didn't
                   ///< run
  Failure,         ///< runs it and responds with a server error
  LostAnswer,      ///< runs it and resets the connection
  CutBody,         ///< runs it and resets within the body of the response
  WrongId,         ///< runs it and answers under the id of another request
  // Runs it and answers with a head that is none, or is no answer's:
  NoStatus,        ///< the status 000
  NameWithBlank,   ///< a field whose name holds a blank
  NameWithControl, ///< a field whose name holds a control byte
  HiddenField,     ///< a field in a line that continues another
  CodedBody,       ///< a transfer coding beside a length
  EncodedBody,     ///< a content coding
  TwoIds,          ///< its own id and another one
  // Streams without an end, as fast as they are read:
  EndlessEvent, ///< an event that doesn't end
  EmptyLines,
  OldEvents,   ///< the first event, again and again
  EndlessBody, ///< of an error
};

/// Returns nothing for an unknown name.
std::optional<Deviation> parseDeviation(std::string_view name);
std::string_view toString(Deviation deviation);

/// Returns whether the runner runs the request.
[[nodiscard]] bool runsRequest(Deviation deviation);

/// Returns whether only runners that answer with streams deviate so.
[[nodiscard]] bool needsStream(Deviation deviation);

/// Answers a request as the deviation says. `head` is that of a sound response
/// with status 200; `n` varies the statuses of refusals.
void answerDeviating(const std::shared_ptr<http1::Exchange> &exchange,
                     Deviation deviation, http1::ResponseHead head, unsigned n);

} // namespace cowslipridge::standins::platform
