#include "cowslipridge/gateway/RequestFlow.hpp"

#include "cowslipridge/gateway/EventDetails.hpp"

// What a request tells the log and the metrics.
namespace cowslipridge::gateway {

void RequestFlow::reportRouted(const Placement &placement,
                               core::Millis remaining) {
  const CallerRequest &caller = Machine.request().Caller;
  std::string detail =
      "kind=" + std::string(toString(placement.Kind)) +
      " runner=" + placement.Runner.str() +
      " version=" + placement.Version.str() + " model=" + modelOf(placement) +
      " forecast_ms=" + std::to_string(placement.PredictedFirstByte.count()) +
      " uncached_tokens=" + std::to_string(placement.UncachedTokens) +
      " fetched_tokens=" + std::to_string(placement.FetchedTokens) +
      " slowness=" + formatFactor(placement.RunnerSlowness) +
      " runner_load=" + std::to_string(placement.RunnerLoad) +
      " peers_age_ms=" + std::to_string(placement.PeerLoadAge.count()) +
      " left_ms=" + std::to_string(remaining.count());
  if (!caller.Session.empty())
    detail += " session=" + caller.Session.str();
  detail += " content=" + formatHex(caller.Content);
  if (const std::string segments = describeSharedSegments(caller);
      !segments.empty())
    detail += " prompt=" + segments;
  report(observe::EventNumber::RequestRouted, detail);
  Context.Counts.add(observe::CounterName::Attempts,
                     {.Service = Service,
                      .Version = Version,
                      .Outcome = std::string(toString(placement.Kind))});
}

std::string RequestFlow::progress() const {
  const RequestContext &request = Machine.request();
  std::string text =
      " events=" + std::to_string(Machine.eventsForwarded()) +
      " max_output_tokens=" + std::to_string(request.Caller.MaxOutputTokens);
  if (FirstByteAt)
    text += " first_ms=" +
            std::to_string((*FirstByteAt - request.ArrivedAt).count());
  if (const auto confidence = Machine.confidence())
    text += " confidence=" + std::to_string(*confidence);
  return text;
}

std::string RequestFlow::attemptDetail() const {
  std::string text;
  if (HeadAt)
    text += " response_ms=" + std::to_string((now() - *HeadAt).count());
  if (AnsweredCall)
    text += " " + describe(*AnsweredCall);
  return text;
}

void RequestFlow::onBrokenAnswer(const std::string &reason) {
  report(observe::EventNumber::AnswerBroken,
         "runner=" + Runner.str() + " version=" + Version.str() + " " + reason);
  Context.Counts.add(observe::CounterName::BrokenAnswers,
                     {.Service = Service, .Version = Version, .Outcome = {}});
}

void RequestFlow::onRetry(AttemptOutcome outcome, const std::string &reason) {
  report(observe::EventNumber::RequestRetried, reason + attemptDetail());
  Context.Counts.add(observe::CounterName::Retries,
                     {.Service = Service,
                      .Version = {},
                      .Outcome = std::string(toString(outcome))});
}

void RequestFlow::onEscalation(const LowConfidenceAnswer &answer) {
  report(observe::EventNumber::RequestEscalated, describe(answer));
}

void RequestFlow::onKeepWaiting(const std::string &reason) {
  report(observe::EventNumber::RequestWaits, reason);
}

void RequestFlow::onLowConfidenceAccepted(const LowConfidenceAnswer &answer,
                                          const std::string &reason) {
  report(observe::EventNumber::RequestKept, describe(answer) + " " + reason);
}

void RequestFlow::countRefusal(int status, bool isStated) {
  Context.Counts.add(observe::CounterName::RunnerRefusals,
                     {.Service = Service,
                      .Version = Version,
                      .Outcome = isStated ? "stated" : "unstated"});
  if (!isStated)
    report(observe::EventNumber::RefusalUnstated,
           "status=" + std::to_string(status));
}

void RequestFlow::count(const char *outcome) {
  Context.Counts.add(
      observe::CounterName::Requests,
      {.Service = Service, .Version = Version, .Outcome = outcome});
  Context.Counts.observe(
      observe::HistogramName::RequestSeconds,
      {.Service = Service, .Version = {}, .Outcome = outcome},
      now() - Machine.request().ArrivedAt);
}

void RequestFlow::report(observe::EventNumber number,
                         const std::string &detail) {
  const RequestContext &request = Machine.request();
  Context.Log.report(
      number, {.Request = request.Caller.Id,
               .Version = {},
               .Cause = {},
               .Detail = "route=" + request.Route->Name + " age_ms=" +
                         std::to_string((now() - request.ArrivedAt).count()) +
                         " " + detail});
}

} // namespace cowslipridge::gateway
