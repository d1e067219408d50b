#include "cowslipridge/gateway/RequestFlow.hpp"

#include "cowslipridge/gateway/EventDetails.hpp"
#include "cowslipridge/http1/ResponseFlaws.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <utility>

namespace cowslipridge::gateway {

namespace {

/// Bytes that may be buffered for a slow caller before reading from its runner
/// pauses.
constexpr std::size_t MaxBacklog = 64UL * 1024;
/// The same while the process has little room left.
constexpr std::size_t MaxTightBacklog = 16UL * 1024;
constexpr int FirstFailureStatus = 400;
constexpr int ServiceUnavailable = 503;

} // namespace

/// Receives the events of one attempt. Events after a cancellation are ignored.
class RequestFlow::Attempt final : public http1::CallEvents {
public:
  explicit Attempt(std::shared_ptr<RequestFlow> flow) : Flow(std::move(flow)) {}
  void detach() { Flow.reset(); }
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
                         RequestContext request)
    : Context(context), Exchange(std::move(exchange)),
      Machine(std::move(request), context.Policy, *this), Timer(context.Loop),
      HeldBytes(context.Buffers.emptyShare()) {}

void RequestFlow::start() {
  Exchange->onClientDisconnect([self = shared_from_this()] {
    self->Machine.onCallerDisconnected(self->now());
    self->report(observe::EventNumber::RequestAbandoned,
                 "the caller disconnected");
    self->count("abandoned");
    self->afterEvent();
  });
  Exchange->onDrained([self = shared_from_this()] {
    if (std::exchange(self->Paused, false) && self->Call)
      self->Call->resume();
    if (!self->Machine.done())
      self->updateHeldBytes();
  });
  Context.Active.insert(weak_from_this());
  Machine.start(now());
  afterEvent();
}

void RequestFlow::onPolicyChanged() {
  Machine.onPolicyChanged(now());
  afterEvent();
}

void RequestFlow::onProcessEnding() {
  Machine.onProcessEnding(now());
  afterEvent();
}

void RequestFlow::onBuffersExceeded() {
  Machine.onBuffersExceeded(now());
  afterEvent();
}

std::size_t RequestFlow::maxBacklog() const {
  return Context.Buffers.isTight() ? MaxTightBacklog : MaxBacklog;
}

void RequestFlow::updateHeldBytes() {
  HeldBytes.resize(Machine.heldBytes() + SentBytes);
  if (Context.Buffers.isExceeded())
    Context.OnBuffersExceeded();
}

std::string RequestFlow::modelOf(const Placement &placement) const {
  return placement.Tier ? Machine.request().Route->Models.at(*placement.Tier)
                        : Machine.request().Caller.Model;
}

void RequestFlow::startAttempt(const Placement &placement,
                               core::Millis remaining,
                               std::optional<std::uint64_t> after) {
  const RequestContext &request = Machine.request();
  RelayAttributes attributes;
  attributes.Runner = placement.Runner;
  if (request.Organisation != nullptr)
    attributes.Organisation = request.Organisation->Name;
  attributes.Remaining = remaining;
  if (placement.Tier)
    attributes.Model = modelOf(placement);
  attributes.LastEventId = after;
  attributes.PrefixSource = placement.PrefixSource;
  attributes.Urgency = placement.Urgency;

  http1::CallSpec spec;
  spec.Server = http1::Endpoint(boost::asio::ip::make_address(placement.Host),
                                placement.Port);
  spec.Bytes = compose(attributes);
  spec.Body = Exchange->sharedBody();
  SentBytes = spec.Bytes.size();
  spec.Recompose = [weak = weak_from_this(), attributes](core::Millis waited) {
    const auto flow = weak.lock();
    return flow ? flow->recompose(attributes, waited) : std::nullopt;
  };
  spec.HeadRequest = Exchange->head().Method == "HEAD";
  spec.EchoField = Context.Translation.echoField();
  spec.EchoValue = request.Caller.Id.str();
  // Only a fallback: the deadline of the request cancels the attempt before.
  spec.Timeout = remaining + core::Millis(1'000);
  spec.MaxConnections = placement.MaxConnections;
  Runner = placement.Runner;
  Service = placement.Service;
  Version = placement.Version;
  reportRouted(placement, remaining);
  HeadAt.reset();
  AnsweredCall.reset();
  Current = std::make_shared<Attempt>(shared_from_this());
  Call = Context.Runners.call(std::move(spec), Current);
}

std::string RequestFlow::compose(const RelayAttributes &attributes) const {
  return http1::writeRequestHead(
      Context.Translation.relay(Exchange->head(), attributes),
      Exchange->body().size());
}

// The runner is told the time that is left when the request leaves, not when it
// was placed.
std::optional<std::string> RequestFlow::recompose(RelayAttributes attributes,
                                                  core::Millis waited) const {
  attributes.Remaining = attributes.Remaining - waited;
  if (attributes.Remaining < MinUsefulTime)
    return std::nullopt;
  return compose(attributes);
}

bool RequestFlow::mayHaveSent() const { return Call && Call->progress().Sent; }

void RequestFlow::cancelAttempt() {
  if (const auto attempt = std::exchange(Current, nullptr))
    attempt->detach();
  if (const auto call = std::exchange(Call, nullptr))
    call->cancel();
}

void RequestFlow::respond(const http1::ResponseHead &head,
                          std::string_view body) {
  http1::ResponseHead forwarded = head;
  forwarded.Fields = http1::endToEnd(head.Fields);
  report(observe::EventNumber::RequestEnded,
         "status=" + std::to_string(head.Status));
  count(head.Status < FirstFailureStatus ? "served" : "failed");
  Exchange->respond(std::move(forwarded), body);
}

void RequestFlow::begin(const http1::ResponseHead &head) {
  FirstByteAt = now();
  Context.Counts.observe(observe::HistogramName::FirstTokenSeconds,
                         {.Service = Service, .Version = {}, .Outcome = {}},
                         *FirstByteAt - Machine.request().ArrivedAt);
  Exchange->begin(head);
}

void RequestFlow::data(std::string_view bytes) {
  Exchange->send(bytes);
  if (Exchange->backlog() <= maxBacklog() || !Call)
    return;
  Paused = true;
  Call->pause();
}

void RequestFlow::end() {
  report(observe::EventNumber::RequestEnded, "status=200" + progress());
  count("served");
  Exchange->end();
}

void RequestFlow::abort(const std::string &reason) {
  report(observe::EventNumber::RequestRefused,
         "broken off: " + reason + attemptDetail() + progress());
  count("broken-off");
  Exchange->abort();
}

void RequestFlow::replyWithError(const ErrorReply &reply) {
  report(observe::EventNumber::RequestRefused,
         "status=" + std::to_string(reply.Status) + " " + reply.Reason +
             attemptDetail());
  count(reply.Status == ServiceUnavailable ? "refused" : "failed");
  Exchange->respond(Context.Translation.localReply(reply.Status,
                                                   Machine.request().Caller.Id,
                                                   reply.RetryAfter),
                    {});
}

void RequestFlow::onHead(const http1::ResponseHead &head) {
  HeadAt = now();
  AnsweredCall = Call->progress();
  ResponseAttributes response = Context.Translation.readResponse(head);
  if (response.Flaw.empty())
    response.Flaw = http1::findFlaw(Exchange->head(), head);
  if (promisesNotRun(head.Status))
    countRefusal(head.Status, response.NotRun.has_value());
  Machine.onHead(head, response, now());
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
  if (Call)
    AnsweredCall = Call->progress();
  if (AnsweredCall && !AnsweredCall->Defect.empty())
    onBrokenAnswer(AnsweredCall->Defect);
  Current = nullptr;
  Call = nullptr;
  Machine.onFailure(failure, now());
  afterEvent();
}

void RequestFlow::afterEvent() {
  if (!Machine.done()) {
    updateHeldBytes();
    armTimer();
    return;
  }
  if (!std::exchange(IsFinished, true))
    finish();
}

void RequestFlow::finish() {
  Context.Recent.end(Machine.request().key(), Machine.attempts(), now());
  HeldBytes.resize(0);
  Context.Active.erase(weak_from_this());
  cancelAttempt();
  Timer.cancel();
  Exchange->onClientDisconnect(nullptr);
  Exchange->onDrained(nullptr);
}

void RequestFlow::armTimer() {
  const core::Millis at = Machine.nextTimer();
  // A timer that is set earlier needs no change: it is armed again when it
  // fires.
  if (TimerAt && *TimerAt <= at)
    return;
  TimerAt = at;
  const core::Millis wait = std::max(core::Millis(), at - now());
  Timer.start(wait, [self = shared_from_this()] {
    self->TimerAt.reset();
    self->Machine.onTimer(self->now());
    self->afterEvent();
  });
}

} // namespace cowslipridge::gateway
