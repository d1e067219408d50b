#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Outcome.hpp"
#include "cowslipridge/http/Server.hpp"

#include <memory>
#include <string>

namespace cowslipridge::entry {

/// The reason why a request is answered with an error.
struct Failure {
  core::Errc Reason = core::Errc::Internal;
  core::Outcome Result = core::Outcome::NotRun;
  core::Millis RetryAfter; ///< for the Retry-After header; 0: no header
  std::string Detail;
};

/// The values of the project's own headers in a response.
struct AnswerLabels {
  core::RequestId Request;
  core::VersionId Version; ///< empty until one was chosen
  std::string SessionToken;
};

/// Writes the response to one request: a complete answer, an event stream or a
/// problem document.
class AnswerWriter {
public:
  explicit AnswerWriter(std::shared_ptr<http::Responder> responder)
      : Responder(std::move(responder)) {}

  /// Sends a complete answer.
  void respond(int status, http::Headers fields, std::string body,
               const AnswerLabels &labels);
  /// Sends one event of a streamed answer; the first event also sends the
  /// response head.
  void streamEvent(const std::string &data, const AnswerLabels &labels);
  /// Ends a streamed answer as complete.
  void finishStream();
  /// Sends a problem response. If a stream has started, sends an error event
  /// and aborts the stream.
  void fail(const Failure &failure, const AnswerLabels &labels);

  [[nodiscard]] bool started() const { return Started; }
  [[nodiscard]] bool isClientDisconnected() const {
    return Responder->isDisconnected();
  }

private:
  std::shared_ptr<http::Responder> Responder;
  bool Started = false;
};

/// Returns the problem response for a failure.
http::Response makeFailureResponse(const Failure &failure);

} // namespace cowslipridge::entry
