#include "cowslipridge/gateway/Gateway.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/gateway/RequestTraits.hpp"

#include <utility>

// Requests from their arrival until they are routed, held or rejected.
namespace cowslipridge::gateway {

namespace {

/// Retry-After for callers while this gateway has no configuration yet.
constexpr core::Millis StartupRetryAfter{200};
/// Retry-After in that state during a store outage: outages last for seconds.
constexpr core::Millis OutageRetryAfter{1'500};

/// Retry-After for a request whose body there was no room for: others have
/// ended by then.
constexpr core::Millis NoRoomRetryAfter{500};

constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

} // namespace

using observe::EventNumber;

void Gateway::onRequest(const std::shared_ptr<http1::Exchange> &exchange) {
  const auto caller = Translation.readRequest(exchange->head());
  if (!caller) {
    exchange->respond(refuse({}, {BadRequest, "malformed", std::nullopt}), {});
    return;
  }
  const bool holds = !hasConfiguration() &&
                     expectsConfiguration(Clock.monotonic()) &&
                     Held.hasRoom(exchange->body().size());
  if (holds)
    holdRequest(exchange, *caller);
  else
    answer(exchange, *caller);
}

void Gateway::holdRequest(const std::shared_ptr<http1::Exchange> &exchange,
                          const CallerRequest &caller) {
  const auto release = [this, exchange, caller] {
    exchange->onClientDisconnect(nullptr);
    answer(exchange, caller);
  };
  const StartupQueue::Ticket ticket =
      Held.hold(exchange->body().size(), Clock.monotonic(), release);
  exchange->onClientDisconnect([this, ticket] { Held.remove(ticket); });
}

void Gateway::releaseHeld(core::Millis now) {
  if (hasConfiguration() || !expectsConfiguration(now))
    Held.releaseAll();
  else
    Held.expire(now);
}

void Gateway::answer(const std::shared_ptr<http1::Exchange> &exchange,
                     const CallerRequest &caller) {
  auto resolved = resolve(caller, exchange->begunAt());
  std::visit(core::Overloaded{
                 [&](const ErrorReply &it) {
                   exchange->respond(refuse(caller.Id, it), {});
                 },
                 [&](RequestContext &it) { forward(exchange, std::move(it)); }},
             resolved);
}

void Gateway::forward(const std::shared_ptr<http1::Exchange> &exchange,
                      RequestContext request) {
  request.Caller.Content =
      contentDigest(request, exchange->head(), exchange->body());
  request.Earlier = recordArrival(request);
  std::make_shared<RequestFlow>(Flows, exchange, std::move(request))->start();
}

EarlierAttempts Gateway::recordArrival(const RequestContext &request) {
  const auto earlier = Recent.begin(request.key(), Clock.monotonic());
  if (!earlier)
    return {};
  Log.report(EventNumber::RequestIdRepeated,
             {.Request = request.Caller.Id,
              .Version = {},
              .Cause = {},
              .Detail = "route=" + request.Route->Name +
                        " attempts=" + std::to_string(earlier->Made) +
                        (earlier->MayHaveRun ? " may-have-run" : " not-run")});
  return *earlier;
}

std::variant<RequestContext, ErrorReply>
Gateway::resolve(const CallerRequest &caller, core::Millis begunAt) const {
  if (!hasConfiguration())
    return ErrorReply{Unavailable, "no configuration yet",
                      StoreUnavailableSince ? OutageRetryAfter
                                            : StartupRetryAfter};
  RequestContext context;
  context.Caller = caller;
  context.Catalogue = RequestDispatcher.catalogue();
  context.Route = context.Catalogue->route(caller.Host, caller.Path);
  if (context.Route == nullptr)
    return ErrorReply{NotFound, "no route", std::nullopt};
  if (!context.Route->Public && context.Catalogue->catalogue().Organisations) {
    if (caller.ApiKey)
      context.Organisation =
          context.Catalogue->findOrganisation(*caller.ApiKey);
    if (context.Organisation == nullptr)
      return ErrorReply{Unauthorized, "unknown key", std::nullopt};
  }
  context.ArrivedAt = begunAt;
  context.Deadline =
      begunAt + std::min(context.Route->Timeout,
                         caller.Remaining.value_or(context.Route->Timeout));
  const core::Millis now = Clock.monotonic();
  if (!Drain.accepts(context, now))
    return ErrorReply{
        Unavailable, "leaving",
        Peers.retryAfter(Drain.exitsWithin(now).value_or(core::Millis()))};
  return context;
}

// A body that was not read has reached no runner.
http1::ResponseHead
Gateway::rejectForLackOfRoom(const http1::RequestHead &head) {
  Relief.report();
  const auto caller = Translation.readRequest(head);
  return refuse(caller ? caller->Id : core::RequestId(),
                {Unavailable, "no room for the body", NoRoomRetryAfter});
}

std::optional<http1::ResponseHead>
Gateway::refuseEarly(const http1::RequestHead &head) {
  if (!hasConfiguration())
    return std::nullopt;
  const auto caller = Translation.readRequest(head);
  const auto resolved = caller
                            ? resolve(*caller, Clock.monotonic())
                            : ErrorReply{BadRequest, "malformed", std::nullopt};
  const auto *refusal = std::get_if<ErrorReply>(&resolved);
  if (refusal == nullptr)
    return std::nullopt;
  return refuse(caller ? caller->Id : core::RequestId(), *refusal);
}

http1::ResponseHead Gateway::refuse(const core::RequestId &request,
                                    const ErrorReply &refusal) {
  Log.report(EventNumber::RequestRefused,
             {.Request = request,
              .Version = {},
              .Cause = {},
              .Detail = "status=" + std::to_string(refusal.Status) + " " +
                        refusal.Reason});
  Metrics.add(observe::CounterName::Requests,
              {.Service = {}, .Version = {}, .Outcome = "refused"});
  return Translation.localReply(refusal.Status, request, refusal.RetryAfter);
}

} // namespace cowslipridge::gateway
