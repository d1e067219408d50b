#pragma once

#include "cowslipridge/gateway/RequestStateMachine.hpp"

#include <map>
#include <string>
#include <vector>

namespace cowslipridge::support {

/// Places requests on runners r1, r2, ... while PlacementsLeft is positive.
class ScriptedPlacementPolicy final : public gateway::PlacementPolicy {
public:
  gateway::PlacementResult place(const gateway::RequestContext & /*request*/,
                                 gateway::ModelTier tier,
                                 const std::vector<core::RunnerId> &excluded,
                                 gateway::AttemptKind kind,
                                 core::Millis /*now*/) override {
    Kinds.push_back(kind);
    if (PlacementsLeft == 0 || (gateway::isRetry(kind) && !AllowRetries))
      return gateway::NoPlacement{"no placement", core::Millis(300)};
    --PlacementsLeft;
    LastExcluded = excluded;
    gateway::Placement placement;
    placement.Ticket = ++Tickets;
    placement.Runner = core::RunnerId("r" + std::to_string(Tickets));
    placement.Tier = tier;
    placement.FirstByteTimeout = core::Millis(400);
    return placement;
  }
  [[nodiscard]] std::optional<gateway::NoPlacement>
  refusal(const gateway::RequestContext & /*request*/,
          core::Millis /*now*/) const override {
    return Refusal;
  }
  gateway::ModelTier firstTier(const gateway::RequestContext & /*request*/,
                               core::Millis /*now*/) override {
    return FirstTier;
  }
  gateway::EscalationDecision
  decideEscalation(const gateway::RequestContext & /*request*/,
                   std::size_t tier, int confidence,
                   core::Millis /*now*/) override {
    const bool isLowConfidence = confidence < 50;
    return {isLowConfidence && !NoTimeForLarger ? tier + 1 : tier,
            isLowConfidence, std::nullopt};
  }
  void onHead(std::uint64_t /*ticket*/,
              const gateway::ResponseAttributes & /*response*/,
              core::Millis /*now*/) override {}
  [[nodiscard]] core::Millis
  retryAfter(const gateway::RequestContext & /*request*/,
             core::Millis /*now*/) const override {
    return RetryAfter;
  }
  void onEvents(std::uint64_t /*ticket*/, unsigned /*events*/,
                core::Millis /*now*/) override {}
  void onEnded(std::uint64_t ticket, gateway::AttemptOutcome outcome,
               core::Millis /*now*/) override {
    Outcomes.emplace(ticket, outcome);
  }

  int PlacementsLeft = 100;
  core::Millis RetryAfter = gateway::MinRetryAfter;
  std::optional<gateway::NoPlacement> Refusal;
  bool NoTimeForLarger = false;
  bool AllowRetries = true;
  std::vector<gateway::AttemptKind> Kinds;
  gateway::ModelTier FirstTier;
  std::uint64_t Tickets = 0;
  std::vector<core::RunnerId> LastExcluded;
  std::map<std::uint64_t, gateway::AttemptOutcome> Outcomes;
};

/// Records the actions of a RequestStateMachine.
class RecordedActions final : public gateway::RequestActions {
public:
  void startAttempt(const gateway::Placement &placement,
                    core::Millis /*remaining*/,
                    std::optional<std::uint64_t> after) override {
    ++Attempts;
    Open = true;
    Tier = placement.Tier;
    After = after;
  }
  [[nodiscard]] bool mayHaveSent() const override { return Sent; }
  void cancelAttempt() override {
    Cancels += Open ? 1 : 0;
    Open = false;
  }
  void respond(const http1::ResponseHead &head,
               std::string_view body) override {
    ++Responses;
    Status = head.Status;
    Body = body;
  }
  void begin(const http1::ResponseHead &head) override {
    ++Begins;
    Status = head.Status;
  }
  void data(std::string_view bytes) override { Body += bytes; }
  void end() override { ++Responses; }
  void abort(const std::string & /*reason*/) override {
    ++Responses;
    Aborted = true;
  }
  void replyWithError(const gateway::ErrorReply &reply) override {
    ++Responses;
    Status = reply.Status;
    RetryAfter = reply.RetryAfter;
  }
  void onBrokenAnswer(const std::string &reason) override {
    BrokenAnswers.push_back(reason);
  }
  void onRetry(gateway::AttemptOutcome outcome,
               const std::string & /*reason*/) override {
    Retried.push_back(outcome);
  }
  void onEscalation(const gateway::LowConfidenceAnswer & /*answer*/) override {
    ++Escalations;
  }
  void onKeepWaiting(const std::string & /*reason*/) override { ++Waits; }
  void onLowConfidenceAccepted(const gateway::LowConfidenceAnswer & /*answer*/,
                               const std::string &reason) override {
    AcceptedReason = reason;
  }

  bool Sent = true; ///< what mayHaveSent() returns
  int Attempts = 0;
  int Cancels = 0;
  int Begins = 0;
  int Escalations = 0;
  int Waits = 0;
  std::vector<std::string> BrokenAnswers; ///< what was wrong with them
  std::vector<gateway::AttemptOutcome> Retried;
  std::string AcceptedReason; ///< empty: no low-confidence answer was accepted
  int Responses = 0;
  bool Open = false;
  bool Aborted = false;
  int Status = 0;
  std::string Body;
  gateway::ModelTier Tier;
  std::optional<std::uint64_t> After;
  std::optional<core::Millis> RetryAfter;
};

/// Returns a request on the only route of a catalogue.
inline gateway::RequestContext requestContext(catalogue::RouteKind kind,
                                              unsigned maxAttempts) {
  catalogue::Catalogue declared;
  catalogue::Route route;
  route.Kind = kind;
  route.MaxAttempts = maxAttempts;
  route.Timeout = core::Millis(10'000);
  route.Services = {{core::ServiceId("s"), 1}};
  declared.Routes = {route};
  gateway::RequestContext context;
  context.Catalogue =
      std::make_shared<const catalogue::CatalogueIndex>(declared);
  context.Route = &context.Catalogue->catalogue().Routes.front();
  context.Caller.Id = core::RequestId("id");
  context.Deadline = core::Millis(10'000);
  return context;
}

} // namespace cowslipridge::support
