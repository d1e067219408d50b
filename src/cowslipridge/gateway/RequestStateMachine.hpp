#pragma once

#include "cowslipridge/gateway/EventSplitter.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/Message.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::gateway {

/// Why a request was refused or given up.
struct ErrorReply {
  int Status = 503;
  std::string Reason; ///< for the log
  std::optional<core::Millis> RetryAfter;
};

/// A smaller model's answer that was doubted.
struct LowConfidenceAnswer {
  int Confidence = 0;
  std::optional<route::TierForecast> Larger; ///< none: no runner serves it
};

/// What a request machine makes happen.
class RequestActions {
public:
  virtual ~RequestActions() = default;
  /// Sends the request to a runner; `after`: a stream goes on behind this
  /// event.
  virtual void send(const Placement &placement, core::Millis remaining,
                    std::optional<std::uint64_t> after) = 0;
  /// Ends the sending that is under way so that its runner stops.
  virtual void cancelSend() = 0;
  /// Passes a runner's whole answer on.
  virtual void pass(const http1::ResponseHead &head, std::string_view body) = 0;
  /// Begins to pass a runner's answer on.
  virtual void begin(const http1::ResponseHead &head) = 0;
  virtual void data(std::string_view bytes) = 0;
  virtual void end() = 0;
  /// Breaks an answer off that was begun.
  virtual void abort(const std::string &reason) = 0;
  /// Answers with a failure of the gateway's own.
  virtual void refuse(const ErrorReply &refusal) = 0;
  /// The request is tried again after a sending that ended so.
  virtual void retried(AttemptOutcome outcome, const std::string &reason) = 0;
  virtual void escalated(const LowConfidenceAnswer &answer) = 0;
  /// A silent runner is waited for after all.
  virtual void waits(const std::string &reason) = 0;
  /// A doubted answer is passed on all the same.
  virtual void kept(const LowConfidenceAnswer &answer,
                    const std::string &reason) = 0;
};

/// The course of one request from its arrival to its answer, without I/O.
///
/// Keeps these promises: a request that may not be repeated is sent on only
/// after a proof that it did not run; 503 is said only when nothing ran; no
/// event of a stream is lost, repeated or joined from two halves; there is
/// exactly one answer, and nothing happens after it or after the caller left.
class RequestStateMachine {
public:
  RequestStateMachine(RequestContext facts, PlacementPolicy &placer,
                      RequestActions &actions);

  void start(core::Millis now);
  void onHead(const http1::ResponseHead &head,
              const ResponseAttributes &verdict, core::Millis now);
  void onData(std::string_view bytes, core::Millis now);
  void onEnd(core::Millis now);
  void onFailure(http1::CallFailure failure, core::Millis now);
  void onCallerLeft(core::Millis now);
  void onTimer(core::Millis now);
  /// When onTimer is due next.
  [[nodiscard]] core::Millis nextTimer() const;
  [[nodiscard]] bool done() const { return State == Phase::Done; }
  [[nodiscard]] const RequestContext &facts() const { return Facts; }
  /// What the model that answers thinks of its answer.
  [[nodiscard]] std::optional<int> confidence() const { return Confidence; }
  /// Events of a stream that the caller was given.
  [[nodiscard]] std::size_t eventsPassed() const { return EventsPassed; }

private:
  enum class Phase { Waiting, Gathering, Streaming, Done };

  void sendNext(const std::string &reason, core::Millis now);
  void onPlacement(const Placement &placement, core::Millis now);
  void retryOrGiveUp(const std::string &reason, core::Millis now);
  void giveUp(const std::string &reason, core::Millis retryAfter);
  void onSuccess(const http1::ResponseHead &head,
                 const ResponseAttributes &verdict, core::Millis now);
  void onRunnerFailed(core::Millis now);
  bool escalate(const ResponseAttributes &verdict, core::Millis now);
  void passEvents(std::string_view bytes, core::Millis now);
  bool passEvent(const StreamEvent &event);
  void endStream(core::Millis now);
  void endGathered(core::Millis now);
  void onRejected(core::Millis now);
  void onDeadline(core::Millis now);
  void leaveSilent(core::Millis now);
  void broke(AttemptOutcome outcome, const std::string &reason,
             core::Millis now);
  void ended(AttemptOutcome outcome, core::Millis now);
  void finish();
  [[nodiscard]] bool mayResend() const;
  [[nodiscard]] core::Millis remaining(core::Millis now) const;

  const RequestContext Facts;
  PlacementPolicy &Decisions;
  RequestActions &Actions;
  Phase State = Phase::Waiting;
  ModelTier Tier;
  std::optional<Placement> Current;
  AttemptOutcome LastOutcome =
      AttemptOutcome::Dropped; ///< of the sending before
  std::vector<core::RunnerId> Excluded;
  unsigned Sent = 0;        ///< runners that may have got the request
  unsigned Unreachable = 0; ///< runners without a connection
  bool MayHaveRun = false;
  bool Rejected = false; ///< the runner promises that it did not run
  bool AnswerBegun = false;
  /// A runner's own failure, passed on if nothing better comes.
  std::optional<http1::ResponseHead> FailedHead;
  std::string FailedBody;
  http1::ResponseHead Head; ///< of the answer that is being gathered
  std::string Body;
  std::optional<int> Confidence;
  EventSplitter Events;
  std::size_t EventsPassed = 0;
  std::optional<std::uint64_t> LastEventId; ///< that the caller has
  std::optional<core::Millis> SilentAt;
};

} // namespace cowslipridge::gateway
