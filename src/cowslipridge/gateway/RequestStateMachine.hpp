#pragma once

#include "cowslipridge/gateway/EventSplitter.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/StreamProgress.hpp"
#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/Message.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::gateway {

/// Returns whether callers take the status for a promise that the request did
/// not run and never will.
[[nodiscard]] bool promisesNotRun(int status);

/// An error response that the gateway generates itself.
struct ErrorReply {
  int Status = 503;
  std::string Reason; ///< for the log
  std::optional<core::Millis> RetryAfter;
};

/// An answer of a smaller model that reported low confidence.
struct LowConfidenceAnswer {
  int Confidence = 0;
  std::optional<route::TierForecast> Larger; ///< empty if no runner serves it
};

/// Interface through which a RequestStateMachine acts and reports.
class RequestActions {
public:
  virtual ~RequestActions() = default;
  /// Sends the request to a runner. `after` is the event after which a stream
  /// resumes.
  virtual void startAttempt(const Placement &placement, core::Millis remaining,
                            std::optional<std::uint64_t> after) = 0;
  /// Returns whether bytes of the current attempt's request may have been sent.
  [[nodiscard]] virtual bool mayHaveSent() const = 0;
  /// Cancels the current attempt so that its runner stops working on it.
  virtual void cancelAttempt() = 0;
  /// Forwards a runner's complete response.
  virtual void respond(const http1::ResponseHead &head,
                       std::string_view body) = 0;
  /// Starts to forward a runner's response.
  virtual void begin(const http1::ResponseHead &head) = 0;
  virtual void data(std::string_view bytes) = 0;
  virtual void end() = 0;
  /// Aborts a response that has been started.
  virtual void abort(const std::string &reason) = 0;
  /// Responds with an error of the gateway itself.
  virtual void replyWithError(const ErrorReply &reply) = 0;
  /// The runner's answer is none, or one that can't be passed on.
  virtual void onBrokenAnswer(const std::string &reason) = 0;
  /// The request is retried after an attempt with this outcome.
  virtual void onRetry(AttemptOutcome outcome, const std::string &reason) = 0;
  /// A larger model is queried instead.
  virtual void onEscalation(const LowConfidenceAnswer &answer) = 0;
  /// The attempt timed out, but there is no other runner to retry on, so that
  /// the request keeps waiting for it.
  virtual void onKeepWaiting(const std::string &reason) = 0;
  /// A low-confidence answer is forwarded because a larger model can't be used.
  virtual void onLowConfidenceAccepted(const LowConfidenceAnswer &answer,
                                       const std::string &reason) = 0;
};

/// The life cycle of one request from its arrival to its response, without I/O.
///
/// Guarantees:
/// - A request that is not safe to retry is sent to another runner only when it
///   is certain that the previous one did not execute it.
/// - A caller that sends an id again continues its request: attempts and what
///   may have run add up.
/// - The gateway itself responds with 503 only if no runner executed the
///   request.
/// - No event of a stream is lost, duplicated or joined from parts of two
///   attempts. Only a successful response that continues the stream is added to
///   one that has begun.
/// - A stream that can be resumed and that ended only with its connection is
///   complete once another runner has nothing to add, or none can be asked.
/// - There is exactly one response, and no action follows it or the disconnect
///   of the caller.
class RequestStateMachine {
public:
  RequestStateMachine(RequestContext request, PlacementPolicy &policy,
                      RequestActions &actions);

  void start(core::Millis now);
  void onHead(const http1::ResponseHead &head,
              const ResponseAttributes &response, core::Millis now);
  void onData(std::string_view bytes, core::Millis now);
  void onEnd(core::Millis now);
  void onFailure(http1::CallFailure failure, core::Millis now);
  void onCallerDisconnected(core::Millis now);
  void onTimer(core::Millis now);
  /// The policy refuses requests that it accepted before. Ends the request if
  /// it is one of them and no answer to it has begun.
  void onPolicyChanged(core::Millis now);
  /// The process ends: the request gets its final answer at once.
  void onProcessEnding(core::Millis now);
  /// The process holds too many bytes: breaks the current attempt off if that
  /// frees some and loses no answer.
  void onBuffersExceeded(core::Millis now);
  /// Returns the bytes of responses that are held.
  [[nodiscard]] std::size_t heldBytes() const;
  /// Returns how many of them onBuffersExceeded() would free.
  [[nodiscard]] std::size_t droppableBytes() const;
  /// Returns the time at which onTimer is to be called next.
  [[nodiscard]] core::Millis nextTimer() const;
  [[nodiscard]] bool done() const { return State == Phase::Done; }
  [[nodiscard]] const RequestContext &request() const { return Request; }
  /// Returns the confidence that the answering model reported.
  [[nodiscard]] std::optional<int> confidence() const { return Confidence; }
  /// Returns the attempts of this request and of those before it with its id.
  [[nodiscard]] EarlierAttempts attempts() const;
  /// Returns the number of stream events that were forwarded.
  [[nodiscard]] std::size_t eventsForwarded() const { return EventsForwarded; }

private:
  enum class Phase { Waiting, Buffering, Streaming, Done };

  void startNextAttempt(const std::string &reason, core::Millis now);
  void onPlacement(const Placement &placement, core::Millis now);
  void retryOrGiveUp(const std::string &reason, core::Millis now);
  void giveUp(const std::string &reason, core::Millis retryAfter);
  void onSuccess(const http1::ResponseHead &head,
                 const ResponseAttributes &response, core::Millis now);
  void onRunnerFailed(core::Millis now);
  void onErrorResponseTooLong(core::Millis now);
  bool escalate(const ResponseAttributes &response, core::Millis now);
  void forwardEvents(std::string_view bytes, core::Millis now);
  bool acceptEvent(const StreamEvent &event);
  [[nodiscard]] bool hasTooManyEvents() const;
  /// Cancels the attempt because of its response, which is no answer.
  void breakAttempt(const std::string &reason, core::Millis now);
  bool updateLastEventId(const StreamEvent &event);
  [[nodiscard]] std::string_view
  flawOf(const http1::ResponseHead &head,
         const ResponseAttributes &response) const;
  [[nodiscard]] bool continuesStream(const http1::ResponseHead &head) const;
  /// Returns whether events before this one are missing.
  bool isAfterGap(const StreamEvent &event);
  /// Forwards complete events.
  void forward(const std::string &events, std::size_t count, core::Millis now);
  void endStream(core::Millis now);
  /// Asks another runner for the rest of a stream whose end isn't certain.
  void confirmEnd(core::Millis now);
  /// Ends a response that has begun: as complete if all that is missing is
  /// another runner's word that it is, else visibly broken off.
  void endStartedResponse(const std::string &reason);
  void endBuffered(core::Millis now);
  void onRejected(const NotRunStatement &statement, core::Millis now);
  /// Cancels the attempt and notes whether the request may have run.
  void stopAttempt(AttemptOutcome outcome, core::Millis now);
  void onDeadline(core::Millis now);
  /// Aborts a response that has begun. Otherwise responds with `status` if the
  /// request may have run, and with 503 if it hasn't.
  void endEarly(int status, const std::string &reason, core::Millis now);
  void onAttemptTimeout(core::Millis now);
  /// Judges the progress of the stream from now on.
  void startProgress(core::Millis now);
  void failAttempt(AttemptOutcome outcome, const std::string &reason,
                   core::Millis now);
  void endAttempt(AttemptOutcome outcome, core::Millis now);
  void finish();
  [[nodiscard]] bool canRetry() const;
  [[nodiscard]] core::Millis remaining(core::Millis now) const;

  const RequestContext Request;
  PlacementPolicy &Policy;
  RequestActions &Actions;
  Phase State = Phase::Waiting;
  ModelTier Tier;
  std::optional<Placement> Current;
  AttemptOutcome LastOutcome = AttemptOutcome::Cancelled;
  std::vector<core::RunnerId> Excluded;
  unsigned AttemptsMade = 0;   ///< runners that may have received the request
  unsigned UnsentAttempts = 0; ///< attempts that reached no runner
  /// At a runner; also at one that it was not meant for, which counts as no
  /// attempt.
  bool HasArrived = false;
  bool MayHaveRun = false;
  /// Of the current runner, unless it also responds with a success.
  std::optional<NotRunStatement> Rejection;
  bool ResponseStarted = false;
  /// A runner's error response, forwarded if no later attempt succeeds and its
  /// status promises nothing that the runner did not state.
  std::optional<http1::ResponseHead> FailedHead;
  std::string FailedBody;
  http1::ResponseHead Head; ///< of the response that is being buffered
  std::string Body;
  std::optional<int> Confidence;
  EventSplitter Events;
  std::size_t EventsForwarded = 0;
  std::size_t PaddingBytes = 0;             ///< since the last new event
  std::optional<std::uint64_t> LastEventId; ///< that the caller has received
  http1::ResponseHead StreamHead;           ///< of the first part of the stream
  bool IsResumed = false; ///< the current attempt resumes the stream
  /// The current attempt's response has a body: it is not one to a HEAD.
  bool HasBody = true;
  /// The end of the connection ends the current attempt's response.
  bool EndsWithConnection = false;
  /// The stream ended with its connection and nothing followed since.
  bool EndUnconfirmed = false;
  std::optional<bool> IdsConsecutive;    ///< of the events of the first part
  std::optional<core::Millis> TimeoutAt; ///< of the current attempt
  /// Of the current stream, if it may move to another runner.
  std::optional<StreamProgress> Progress;
};

} // namespace cowslipridge::gateway
