// The part of RequestFlow that handles failed attempts: retries, redirects and
// failover.

#include "cowslipridge/entry/RequestFlow.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/entry/Selection.hpp"

namespace cowslipridge::entry {

using core::Errc;
using core::Outcome;

namespace {

/// Maximum number of redirects to the owner of a key for one request.
constexpr unsigned MaxRedirects = 3;
/// Maximum number of attempts of one request, regardless of the retry budget.
constexpr unsigned MaxAttempts = 6;

Errc toErrc(std::error_code ec) {
  return ec.category() == core::errorCategory() ? static_cast<Errc>(ec.value())
                                                : Errc::Internal;
}

bool isOverload(Errc reason) {
  const int status = core::httpStatus(reason);
  return status == 429 || status == 503;
}

} // namespace

void RequestFlow::recover(const rpc::RunResult &result) {
  explain("failed at " + Sidecar.str() + ": " +
          std::string(core::slug(toErrc(result.Error))) + " (" +
          std::string(core::toString(result.Result)) + ") " + result.Detail);
  if (CurrentPart == Part::Draft && remaining() > core::Millis(0)) {
    begin(Part::Better, Cascade.Better);
    return;
  }
  AttemptContext context;
  context.Idempotent = Request.Idempotent;
  context.AnswerStarted = Answer.started();
  context.MayReplan = !SessionIsPinned && attemptsMade() < MaxAttempts;
  context.OnTrial = isOnTrial();
  context.OwnerWaits = OwnerWaits;
  context.Remaining = remaining();
  std::visit(
      core::Overloaded{
          [&](const WaitForOwner &it) { waitForOwner(it.Delay); },
          [&](const RedirectToOwner &it) { redirect(it.Owner, result); },
          [&](const RetryElsewhere &it) { retryElsewhere(result, it.IsFree); },
          [&](const Replan &) { replan(); },
          [&](const GiveUp &) { fail(result); }},
      decideRetry(result, context));
}

void RequestFlow::waitForOwner(core::Millis delay) {
  ++OwnerWaits;
  Tried.clear();
  Context.Loop.postAfter(delay, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->Done)
      self->attempt();
  });
}

void RequestFlow::redirect(const core::InstanceId &owner,
                           const rpc::RunResult &result) {
  const bool known = Context.Peers->client(owner) != nullptr;
  if (!known || ++Redirects > MaxRedirects) {
    fail(result);
    return;
  }
  Context.Owners.setOwner(claimKey(Request), Request.service().Shards, owner);
  send(owner);
}

void RequestFlow::retryElsewhere(const rpc::RunResult &result, bool isFree) {
  if (attemptsMade() >= MaxAttempts ||
      (!isFree && !Context.Retries.tryAcquire())) {
    fail(result);
    return;
  }
  Routing.Remaining = remaining();
  const auto sidecar = selectSidecar(Context, Request, Routing, Version, Tried);
  if (!sidecar) {
    fail(result);
    return;
  }
  Context.Events.report(observe::EventNumber::RequestRetried,
                        {Request.Request, Version, {}, sidecar->str()});
  send(*sidecar);
}

void RequestFlow::replan() {
  RefusedVersions.insert({Request.Service, Version, {}});
  plan();
}

void RequestFlow::onSuspect(const core::InstanceId &sidecar) {
  const bool canFailOver =
      Call && Sidecar == sidecar && Request.Idempotent && !Answer.started();
  if (!canFailOver)
    return;
  Call->cancel();
  Call.reset();
  rpc::RunResult result;
  result.Result = Outcome::Unknown;
  result.Error = Errc::OutcomeUnknown;
  result.Detail = "the sidecar does not answer";
  recover(result);
}

void RequestFlow::fail(const rpc::RunResult &result) {
  const Errc reason = toErrc(result.Error);
  if (result.Result == Outcome::Unknown && result.BillLine.empty())
    holdUnknownOutcomeBill();
  const bool needsTime =
      isOverload(reason) && result.RetryAfter == core::Millis(0);
  fail({reason, result.Result,
        needsTime ? DefaultRetryAfter : result.RetryAfter, result.Detail});
}

void RequestFlow::fail(const Failure &failure) {
  const std::string reason(core::slug(failure.Reason));
  explain("refused: " + reason);
  Context.Events.report(observe::EventNumber::RequestRefused,
                        {Request.Request, Version, {}, reason});
  Answer.fail(failure, labels());
  finish();
}

} // namespace cowslipridge::entry
