#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Outcome.hpp"
#include "cowslipridge/http/Server.hpp"

#include <memory>
#include <string>

namespace cowslipridge::entry {

/// Why a caller gets no answer.
struct Failure {
  core::Errc Reason = core::Errc::Internal;
  core::Outcome Result = core::Outcome::NotRun;
  core::Millis RetryAfter; ///< 0: no time is known
  std::string Detail;
};

/// What the headers of an answer say.
struct AnswerLabels {
  core::RequestId Request;
  core::VersionId Version; ///< empty until one was chosen
  std::string SessionToken;
};

/// Writes one answer to its caller: whole, streamed or as a problem.
class AnswerWriter {
public:
  explicit AnswerWriter(std::shared_ptr<http::Responder> responder)
      : Responder(std::move(responder)) {}

  /// A whole answer.
  void respond(int status, http::Headers fields, std::string body,
               const AnswerLabels &labels);
  /// One event of a streamed answer; the first one sends the head.
  void streamEvent(const std::string &data, const AnswerLabels &labels);
  /// Ends a streamed answer as whole.
  void finishStream();
  /// A problem response; a streamed answer gets an error event and is broken
  /// off.
  void fail(const Failure &failure, const AnswerLabels &labels);

  [[nodiscard]] bool started() const { return Started; }
  [[nodiscard]] bool gone() const { return Responder->gone(); }

private:
  std::shared_ptr<http::Responder> Responder;
  bool Started = false;
};

/// The problem response for a failure.
http::Response makeFailureResponse(const Failure &failure);

} // namespace cowslipridge::entry
