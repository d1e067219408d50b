#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/gateway/RequestStateMachine.hpp"
#include "cowslipridge/gateway/Translator.hpp"
#include "cowslipridge/http1/Client.hpp"
#include "cowslipridge/http1/LoopTimer.hpp"
#include "cowslipridge/http1/Server.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/observe/Metrics.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cowslipridge::gateway {

class RequestFlow;

/// The dependencies that all requests of a gateway share.
struct FlowContext {
  boost::asio::io_context &Loop;
  const core::Clock &Clock;
  const Translator &Translation;
  PlacementPolicy &Policy;
  http1::Client &Runners;
  observe::EventLog &Log;
  observe::Metrics &Counts;
  const http1::BufferBudget &Buffers;
  RecentRequests &Recent;
  /// Called when the budget of the buffers is exceeded.
  std::function<void()> OnBuffersExceeded;
  /// Requests in progress.
  std::set<std::weak_ptr<RequestFlow>, std::owner_less<>> Active;
};

/// Connects the state machine of one request to its caller and its runners.
/// Keeps itself alive until the request is done.
class RequestFlow final : public RequestActions,
                          public std::enable_shared_from_this<RequestFlow> {
public:
  RequestFlow(FlowContext &context, std::shared_ptr<http1::Exchange> exchange,
              RequestContext request);

  void start();
  /// The policy refuses requests that it accepted before.
  void onPolicyChanged();
  /// The process ends: the caller gets the final answer at once.
  void onProcessEnding();
  /// Returns the bytes that onBuffersExceeded() would free.
  [[nodiscard]] std::size_t droppableBytes() const {
    return Machine.droppableBytes();
  }
  /// The process holds too many bytes: ends the current attempt.
  void onBuffersExceeded();

  void startAttempt(const Placement &placement, core::Millis remaining,
                    std::optional<std::uint64_t> after) override;
  [[nodiscard]] bool mayHaveSent() const override;
  void cancelAttempt() override;
  void respond(const http1::ResponseHead &head, std::string_view body) override;
  void begin(const http1::ResponseHead &head) override;
  void data(std::string_view bytes) override;
  void end() override;
  void abort(const std::string &reason) override;
  void replyWithError(const ErrorReply &reply) override;
  void onBrokenAnswer(const std::string &reason) override;
  void onRetry(AttemptOutcome outcome, const std::string &reason) override;
  void onEscalation(const LowConfidenceAnswer &answer) override;
  void onKeepWaiting(const std::string &reason) override;
  void onLowConfidenceAccepted(const LowConfidenceAnswer &answer,
                               const std::string &reason) override;

private:
  class Attempt;

  [[nodiscard]] core::Millis now() const { return Context.Clock.monotonic(); }
  /// Returns the head of the request as it is sent to a runner.
  [[nodiscard]] std::string compose(const RelayAttributes &attributes) const;
  /// Returns the head of the request after it has waited for a connection, or
  /// nothing if the time that is left is of no use to a runner.
  [[nodiscard]] std::optional<std::string> recompose(RelayAttributes attributes,
                                                     core::Millis waited) const;
  void onHead(const http1::ResponseHead &head);
  void onData(std::string_view bytes);
  void onEnd();
  void onFailure(http1::CallFailure failure);
  /// Logs and counts the runner of an attempt and the reasons for the choice.
  void reportRouted(const Placement &placement, core::Millis remaining);
  void armTimer();
  void afterEvent();
  /// Handles the end of the request, once.
  void finish();
  void report(observe::EventNumber number, const std::string &detail);
  void count(const char *outcome);
  /// Tells the budget how many bytes this request holds now.
  void updateHeldBytes();
  [[nodiscard]] std::size_t maxBacklog() const;
  void countRefusal(int status, bool isStated);
  /// Returns the progress of the response, for the log.
  [[nodiscard]] std::string progress() const;
  /// Returns how long ago the current attempt's response began, and how far its
  /// call had come then or when it failed, for the log.
  [[nodiscard]] std::string attemptDetail() const;
  [[nodiscard]] std::string modelOf(const Placement &placement) const;

  FlowContext &Context;
  std::shared_ptr<http1::Exchange> Exchange;
  RequestStateMachine Machine;
  http1::LoopTimer Timer;
  std::optional<core::Millis> TimerAt;
  std::shared_ptr<Attempt> Current;
  std::shared_ptr<http1::Call> Call;
  bool Paused = false;
  bool IsFinished = false;
  std::optional<core::Millis> FirstByteAt;
  std::optional<core::Millis> HeadAt;   ///< of the current attempt's response
  http1::BufferBudget::Share HeldBytes; ///< without what the exchange holds
  std::size_t SentBytes = 0; ///< of the current attempt, without the body
  /// Of the current attempt, when its response began or it failed.
  std::optional<http1::CallProgress> AnsweredCall;
  core::RunnerId Runner; ///< of the last attempt
  core::ServiceId Service;
  core::VersionId Version;
};

} // namespace cowslipridge::gateway
