#include "cowslipridge/gateway/RequestFlow.hpp"

#include "cowslipridge/core/Chrono.hpp"
#include "cowslipridge/gateway/EventDetails.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <utility>

namespace cowslipridge::gateway {

namespace {

/// Bytes that a slow caller may have outstanding before its runner waits.
constexpr std::size_t MaxBacklog = 64UL * 1024;
constexpr int FirstFailureStatus = 400;
constexpr int ServiceUnavailable = 503;
constexpr int MostUrgent = 0;
constexpr int LeastUrgent = 9;

// An organisation's rank goes before the route's.
int urgencyOf(const RequestFacts &facts) {
  const catalogue::Organisation *organisation = facts.Organisation;
  const int priority = organisation != nullptr && organisation->Priority
                           ? *organisation->Priority
                           : facts.Route->Priority;
  return std::clamp(priority, MostUrgent, LeastUrgent);
}

} // namespace

/// Events of one sending; those of an earlier one are ignored.
class RequestFlow::Attempt final : public http1::CallEvents {
public:
  explicit Attempt(std::shared_ptr<RequestFlow> flow) : Flow(std::move(flow)) {}
  void drop() { Flow.reset(); }
  void onHead(const http1::ResponseHead &head) override {
    if (const auto flow = Flow)
      flow->onHead(head);
  }
  void onData(std::string_view data) override {
    if (const auto flow = Flow)
      flow->onData(data);
  }
  void onEnd() override {
    if (const auto flow = std::exchange(Flow, nullptr))
      flow->onEnd();
  }
  void onFailure(http1::CallFailure failure) override {
    if (const auto flow = std::exchange(Flow, nullptr))
      flow->onFailure(failure);
  }

private:
  std::shared_ptr<RequestFlow> Flow;
};

RequestFlow::RequestFlow(FlowContext &context,
                         std::shared_ptr<http1::Exchange> exchange,
                         RequestFacts facts)
    : Context(context), Exchange(std::move(exchange)),
      Machine(std::move(facts), context.Decisions, *this), Timer(context.Loop) {
}

void RequestFlow::start() {
  Exchange->onClientDisconnect([self = shared_from_this()] {
    self->Machine.onCallerLeft(self->now());
    self->report(observe::EventNumber::RequestAbandoned, "the caller left");
    self->count("abandoned");
    self->afterEvent();
  });
  Exchange->onDrained([self = shared_from_this()] {
    if (std::exchange(self->Paused, false) && self->Call)
      self->Call->resume();
  });
  Machine.start(now());
  afterEvent();
}

std::string RequestFlow::modelOf(const Placement &placement) const {
  return placement.Tier ? Machine.facts().Route->Models.at(*placement.Tier)
                        : Machine.facts().Caller.Model;
}

void RequestFlow::send(const Placement &placement, core::Millis remaining,
                       std::optional<std::uint64_t> after) {
  const RequestFacts &facts = Machine.facts();
  RelayTerms terms;
  terms.Runner = placement.Runner;
  if (facts.Organisation != nullptr)
    terms.Organisation = facts.Organisation->Name;
  terms.Remaining = remaining;
  if (placement.Tier)
    terms.Model = modelOf(placement);
  terms.LastEvent = after;
  terms.Urgency = urgencyOf(facts);

  http1::CallSpec spec;
  spec.Server = http1::Endpoint(boost::asio::ip::make_address(placement.Host),
                                placement.Port);
  spec.Bytes = http1::writeRequest(
      Context.Translation.relay(Exchange->head(), terms), Exchange->body());
  spec.HeadRequest = Exchange->head().Method == "HEAD";
  if (!facts.Caller.Id.empty()) {
    spec.EchoField = Context.Translation.echoField();
    spec.EchoValue = facts.Caller.Id.str();
  }
  // The request's own deadline ends it before.
  spec.Timeout = remaining + core::Millis(1'000);
  spec.MaxConnections = placement.MaxConnections;
  Service = placement.Service;
  Version = placement.Version;
  reportRouted(placement, remaining);
  Current = std::make_shared<Attempt>(shared_from_this());
  Call = Context.Runners.call(std::move(spec), Current);
}

void RequestFlow::reportRouted(const Placement &placement,
                               core::Millis remaining) {
  const CallerRequest &caller = Machine.facts().Caller;
  std::string detail =
      "kind=" + std::string(toString(placement.Kind)) +
      " runner=" + placement.Runner.str() +
      " version=" + placement.Version.str() + " model=" + modelOf(placement) +
      " forecast_ms=" + std::to_string(placement.PredictedFirstByte.count()) +
      " uncached_tokens=" + std::to_string(placement.UncachedTokens) +
      " peers_age_ms=" + std::to_string(placement.PeersAge.count()) +
      " left_ms=" + std::to_string(remaining.count());
  if (!caller.Session.empty())
    detail += " session=" + caller.Session.str();
  report(observe::EventNumber::RequestRouted, detail);
  Context.Counts.add(observe::CounterName::Attempts,
                     {.Service = Service,
                      .Version = Version,
                      .Outcome = std::string(toString(placement.Kind))});
}

void RequestFlow::cancelSend() {
  if (const auto attempt = std::exchange(Current, nullptr))
    attempt->drop();
  if (const auto call = std::exchange(Call, nullptr))
    call->cancel();
}

void RequestFlow::pass(const http1::ResponseHead &head, std::string_view body) {
  http1::ResponseHead passed = head;
  passed.Fields = http1::endToEnd(head.Fields);
  report(observe::EventNumber::RequestEnded,
         "status=" + std::to_string(head.Status));
  count(head.Status < FirstFailureStatus ? "served" : "failed");
  Exchange->respond(std::move(passed), body);
}

void RequestFlow::begin(const http1::ResponseHead &head) {
  BegunAt = now();
  Context.Counts.observe(observe::HistogramName::FirstTokenSeconds,
                         {.Service = Service, .Version = {}, .Outcome = {}},
                         *BegunAt - Machine.facts().ArrivedAt);
  Exchange->begin(head);
}

void RequestFlow::data(std::string_view bytes) {
  Exchange->send(bytes);
  if (Exchange->backlog() <= MaxBacklog || !Call)
    return;
  Paused = true;
  Call->pause();
}

void RequestFlow::end() {
  report(observe::EventNumber::RequestEnded, "status=200" + progress());
  count("served");
  Exchange->end();
}

std::string RequestFlow::progress() const {
  const RequestFacts &facts = Machine.facts();
  std::string text =
      " events=" + std::to_string(Machine.eventsPassed()) +
      " max_output_tokens=" + std::to_string(facts.Caller.MaxOutputTokens);
  if (BegunAt)
    text += " first_ms=" + std::to_string((*BegunAt - facts.ArrivedAt).count());
  if (const auto confidence = Machine.confidence())
    text += " confidence=" + std::to_string(*confidence);
  return text;
}

void RequestFlow::abort(const std::string &reason) {
  report(observe::EventNumber::RequestRefused,
         "broken off: " + reason + progress());
  count("broken-off");
  Exchange->abort();
}

void RequestFlow::refuse(const Refusal &refusal) {
  report(observe::EventNumber::RequestRefused,
         "status=" + std::to_string(refusal.Status) + " " + refusal.Reason);
  count(refusal.Status == ServiceUnavailable ? "refused" : "failed");
  Exchange->respond(Context.Translation.ownAnswer(refusal.Status,
                                                  Machine.facts().Caller.Id,
                                                  refusal.RetryAfter),
                    {});
}

void RequestFlow::retried(SendOutcome outcome, const std::string &reason) {
  report(observe::EventNumber::RequestRetried, reason);
  Context.Counts.add(observe::CounterName::Retries,
                     {.Service = Service,
                      .Version = {},
                      .Outcome = std::string(toString(outcome))});
}

void RequestFlow::escalated(const DoubtedAnswer &answer) {
  report(observe::EventNumber::RequestEscalated, describe(answer));
}

void RequestFlow::waits(const std::string &reason) {
  report(observe::EventNumber::RequestWaits, reason);
}

void RequestFlow::kept(const DoubtedAnswer &answer, const std::string &reason) {
  report(observe::EventNumber::RequestKept, describe(answer) + " " + reason);
}

void RequestFlow::onHead(const http1::ResponseHead &head) {
  Machine.onHead(head, Context.Translation.readAnswer(head), now());
  afterEvent();
}

void RequestFlow::onData(std::string_view bytes) {
  Machine.onData(bytes, now());
  afterEvent();
}

void RequestFlow::onEnd() {
  Current = nullptr;
  Call = nullptr;
  Machine.onEnd(now());
  afterEvent();
}

void RequestFlow::onFailure(http1::CallFailure failure) {
  Current = nullptr;
  Call = nullptr;
  Machine.onFailure(failure, now());
  afterEvent();
}

void RequestFlow::afterEvent() {
  if (!Machine.done()) {
    armTimer();
    return;
  }
  cancelSend();
  Timer.cancel();
  Exchange->onClientDisconnect(nullptr);
  Exchange->onDrained(nullptr);
}

void RequestFlow::armTimer() {
  const core::Millis at = Machine.nextTimer();
  // A timer that fires early only arms itself again.
  if (TimerAt && *TimerAt <= at)
    return;
  TimerAt = at;
  const core::Millis wait = std::max(core::Millis(), at - now());
  Timer.expires_after(core::toChrono(wait));
  Timer.async_wait([self = shared_from_this()](const auto &ec) {
    if (ec)
      return;
    self->TimerAt.reset();
    self->Machine.onTimer(self->now());
    self->afterEvent();
  });
}

void RequestFlow::count(const char *outcome) {
  Context.Counts.add(
      observe::CounterName::Requests,
      {.Service = Service, .Version = Version, .Outcome = outcome});
  Context.Counts.observe(
      observe::HistogramName::RequestSeconds,
      {.Service = Service, .Version = {}, .Outcome = outcome},
      now() - Machine.facts().ArrivedAt);
}

void RequestFlow::report(observe::EventNumber number,
                         const std::string &detail) {
  const RequestFacts &facts = Machine.facts();
  Context.Log.report(
      number, {.Request = facts.Caller.Id,
               .Version = {},
               .Cause = {},
               .Detail = "route=" + facts.Route->Name + " age_ms=" +
                         std::to_string((now() - facts.ArrivedAt).count()) +
                         " " + detail});
}

} // namespace cowslipridge::gateway
