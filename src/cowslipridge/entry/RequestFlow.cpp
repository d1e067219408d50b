#include "cowslipridge/entry/RequestFlow.hpp"

#include "cowslipridge/core/Visit.hpp"

namespace cowslipridge::entry {

using core::Errc;
using core::Outcome;

namespace {

/// Hops to the owner of a key that one request may take.
constexpr unsigned MaxRedirects = 3;
/// Attempts of one request, whatever the retry budget allows.
constexpr unsigned MaxAttempts = 6;
/// Time to come back when nothing says more.
constexpr core::Millis DefaultRetryAfter{1'000};

core::SessionId newSessionId(const core::RequestId &request) {
  return core::SessionId("s-" + request.str());
}

core::Errc toErrc(std::error_code ec) {
  return ec.category() == core::errorCategory()
             ? static_cast<core::Errc>(ec.value())
             : core::Errc::Internal;
}

} // namespace

RequestFlow::RequestFlow(EntryContext &context, CallerRequest request,
                         std::shared_ptr<http::Responder> responder,
                         core::Millis arrivedAt, std::function<void()> onDone)
    : Context(context), Request(std::move(request)),
      Answer(std::move(responder)), Deadline(arrivedAt + Request.TimeLimit),
      OnDone(std::move(onDone)) {
  Facts.Request = Request.Request;
  Facts.Organisation = Request.Organisation;
  Facts.Service = Request.Service;
  Facts.RequestClass = Request.Prompt.RequestClass;
  Facts.PromptTokens = Request.Prompt.Tokens;
  Facts.PrefixHashes = Request.Prompt.PrefixHashes;
  Facts.Stream = Request.Stream;
}

void RequestFlow::start() {
  Context.Explanations.begin({Request.Request,
                              Request.Organisation,
                              Request.Service,
                              Request.Configuration->Number,
                              {}});
  Context.Events.report(observe::EventNumber::RequestReceived,
                        {Request.Request, {}, {}, Request.Organisation.str()});
  Context.Retries.onFirstAttempt();
  if (openSession())
    plan();
}

bool RequestFlow::openSession() {
  if (Request.SessionText.empty()) {
    Session = newSessionId(Request.Request);
    return true;
  }
  const auto facts = Context.Sealer.open(Request.SessionText);
  const bool own = facts.ok() && facts->Organisation == Request.Organisation &&
                   facts->Service == Request.Service;
  if (!own) {
    fail({Errc::InvalidSession, Outcome::NotRun, {}, {}});
    return false;
  }
  Session = facts->Session;
  SessionIsPinned = true;
  Facts.PinnedVersion = facts->Version;
  return true;
}

void RequestFlow::plan() {
  Facts.Remaining = remaining();
  route::CutOffSet barred = Context.CutOffs;
  barred.insert(Avoided.begin(), Avoided.end());
  const route::Plan plan =
      Context.Plans.plan(Facts, Request.service(), barred, 0.0, Context.now());
  std::visit(core::Overloaded{[&](const route::SinglePlan &it) {
                                Version = it.Version;
                                explain("plan: single " + Version.str());
                                attempt();
                              },
                              [&](const route::CascadePlan &it) {
                                Version = it.Better;
                                explain("plan: single " + Version.str());
                                attempt();
                              },
                              [&](const route::NoPlan &it) {
                                explain("no plan");
                                fail({it.Reason, Outcome::NotRun, {}, {}});
                              }},
             plan);
}

void RequestFlow::attempt() {
  Facts.Remaining = remaining();
  const auto runner = Context.Runners.choose(
      Facts, Version, Context.Peers->views(Request.Service), Tried,
      Context.now());
  if (!runner) {
    fail({Errc::NoRunner, Outcome::NotRun, DefaultRetryAfter, {}});
    return;
  }
  send(toInstance(*runner));
}

void RequestFlow::send(const core::InstanceId &sidecar) {
  rpc::PeerClient *client = Context.Peers->client(sidecar);
  if (client == nullptr) {
    fail({Errc::NoRunner, Outcome::NotRun, DefaultRetryAfter, {}});
    return;
  }
  Sidecar = sidecar;
  Tried.push_back(toRunner(sidecar));
  ++Attempts;
  Status = 0;
  Fields.clear();
  Body.clear();
  SentAt = Context.now();
  FirstByteAfter = {};
  explain("sent to " + sidecar.str());
  Context.Events.report(observe::EventNumber::RequestRouted,
                        {Request.Request, Version, {}, sidecar.str()});
  Context.Peers->onSent(sidecar);
  const std::weak_ptr<RequestFlow> weak = weak_from_this();
  const unsigned number = Attempts;
  const auto ifCurrent = [weak, number](auto action) {
    const auto self = weak.lock();
    if (self && !self->Done && self->Attempts == number)
      action(*self);
  };
  rpc::AnswerEvents events;
  events.OnHead = [ifCurrent](int status, http::Headers fields) {
    ifCurrent([&](RequestFlow &it) { it.onHead(status, std::move(fields)); });
  };
  events.OnFrame = [ifCurrent](const std::string &data) {
    ifCurrent([&](RequestFlow &it) { it.onFrame(data); });
  };
  events.OnEnd = [ifCurrent](const rpc::RunResult &result) {
    ifCurrent([&](RequestFlow &it) { it.onEnd(result); });
  };
  Call = client->run(makeRunRequest(), std::move(events));
}

rpc::RunRequest RequestFlow::makeRunRequest() const {
  rpc::RunRequest run;
  run.Sender = Context.Peers->ownStatus();
  run.Request = Request.Request;
  run.Organisation = Request.Organisation;
  run.Service = Request.Service;
  run.Version = Version;
  run.Session = Session;
  run.SessionIsPinned = SessionIsPinned;
  run.IdempotencyKey = Request.IdempotencyKey;
  run.Idempotent = Request.Idempotent;
  run.Method = Request.Method;
  run.Target = Request.Target;
  run.Fields = Request.Fields;
  run.Body = Request.Body;
  run.Stream = Request.Stream;
  run.Remaining = remaining();
  run.Attempt = Attempts;
  run.Part = "single";
  run.PrefixHashes = Request.Prompt.PrefixHashes;
  return run;
}

void RequestFlow::onHead(int status, http::Headers fields) {
  Status = status;
  Fields = std::move(fields);
}

void RequestFlow::onFrame(const std::string &data) {
  if (FirstByteAfter == core::Millis(0))
    FirstByteAfter = Context.now() - SentAt;
  const bool streams = Request.Stream && Status < 300;
  if (!streams) {
    Body += data;
    return;
  }
  Answer.streamEvent(data, labels());
  if (Answer.gone() && Call) {
    Call->cancel();
    explain("the caller went away");
    done();
  }
}

void RequestFlow::onEnd(const rpc::RunResult &result) {
  Call.reset();
  Context.Peers->onEnded(Sidecar, result);
  learn(result);
  if (result.Error)
    recover(result);
  else
    complete(result);
}

void RequestFlow::complete(const rpc::RunResult &result) {
  explain("answered by " + Sidecar.str() +
          (result.Replayed ? " from an earlier attempt" : ""));
  if (Answer.started())
    Answer.finishStream();
  else
    Answer.respond(Status, Fields, std::move(Body), labels());
  Context.Events.report(observe::EventNumber::RequestEnded,
                        {Request.Request, Version, {}, {}});
  done();
}

void RequestFlow::recover(const rpc::RunResult &result) {
  explain("failed at " + Sidecar.str() + ": " +
          std::string(core::slug(toErrc(result.Error))) + " (" +
          std::string(core::toString(result.Result)) + ") " + result.Detail);
  AttemptFacts facts;
  facts.Idempotent = Request.Idempotent;
  facts.AnswerStarted = Answer.started();
  facts.PlansLeft = !SessionIsPinned;
  facts.Remaining = remaining();
  std::visit(
      core::Overloaded{[&](const RedirectToOwner &it) {
                         if (++Redirects > MaxRedirects)
                           fail(result);
                         else
                           send(it.Owner);
                       },
                       [&](const RetryElsewhere &) { retryElsewhere(result); },
                       [&](const PlanAgain &) {
                         Avoided.insert({Request.Service, Version, {}});
                         Tried.clear();
                         plan();
                       },
                       [&](const GiveUp &) { fail(result); }},
      decideRetry(result, facts));
}

void RequestFlow::retryElsewhere(const rpc::RunResult &result) {
  if (Attempts >= MaxAttempts || !Context.Retries.tryTake()) {
    fail(result);
    return;
  }
  Facts.Remaining = remaining();
  const auto runner = Context.Runners.choose(
      Facts, Version, Context.Peers->views(Request.Service), Tried,
      Context.now());
  if (!runner) {
    fail(result);
    return;
  }
  Context.Events.report(observe::EventNumber::RequestRetried,
                        {Request.Request, Version, {}, runner->str()});
  send(toInstance(*runner));
}

void RequestFlow::onSuspect(const core::InstanceId &sidecar) {
  const bool canMove =
      Call && Sidecar == sidecar && Request.Idempotent && !Answer.started();
  if (!canMove)
    return;
  Call->cancel();
  Call.reset();
  rpc::RunResult result;
  result.Result = Outcome::Unknown;
  result.Error = Errc::OutcomeUnknown;
  result.Detail = "the sidecar does not answer";
  recover(result);
}

void RequestFlow::learn(const rpc::RunResult &result) {
  route::AnswerObservation seen;
  seen.Runner = toRunner(Sidecar);
  seen.PrefixHashes = Request.Prompt.PrefixHashes;
  seen.PromptTokens = result.PromptTokens;
  seen.CachedTokens = result.CachedTokens;
  seen.TimeToFirstToken = FirstByteAfter;
  seen.Failed = result.Error == Errc::RunnerFailed ||
                result.Error == Errc::RunnerUnavailable ||
                result.Error == Errc::OutcomeUnknown;
  Context.Runners.observe(seen, Context.now());
}

void RequestFlow::fail(const rpc::RunResult &result) {
  core::Millis retryAfter = result.RetryAfter;
  const Errc reason = toErrc(result.Error);
  const bool isBusy =
      core::httpStatus(reason) == 503 || core::httpStatus(reason) == 429;
  if (isBusy && retryAfter == core::Millis(0))
    retryAfter = DefaultRetryAfter;
  fail({reason, result.Result, retryAfter, result.Detail});
}

void RequestFlow::fail(const Failure &failure) {
  explain("refused: " + std::string(core::slug(failure.Reason)));
  Context.Events.report(
      observe::EventNumber::RequestRefused,
      {Request.Request, Version, {}, std::string(core::slug(failure.Reason))});
  Answer.fail(failure, labels());
  done();
}

void RequestFlow::done() {
  if (Done)
    return;
  Done = true;
  OnDone();
}

void RequestFlow::explain(std::string text) {
  Context.Explanations.add(Request.Request,
                           {Context.Time.wall(), std::move(text)});
}

core::Millis RequestFlow::remaining() const { return Deadline - Context.now(); }

AnswerLabels RequestFlow::labels() {
  AnswerLabels labels{Request.Request, Version, {}};
  if (SessionIsPinned)
    labels.SessionToken = Request.SessionText;
  else if (!Version.empty())
    labels.SessionToken =
        Context.Sealer.seal({Session, Request.Organisation, Request.Service,
                             Version, Context.Time.wall()});
  return labels;
}

} // namespace cowslipridge::entry
