#include "cowslipridge/entry/RequestFlow.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/entry/Draft.hpp"
#include "cowslipridge/entry/Selection.hpp"
#include "cowslipridge/ledger/BillCodec.hpp"

namespace cowslipridge::entry {

using core::Errc;
using core::Outcome;

namespace {

constexpr int FirstErrorStatus = 400;

} // namespace

std::string_view RequestFlow::partName(Part part) {
  switch (part) {
  case Part::Single:
    return "single";
  case Part::Draft:
    return "draft";
  case Part::Better:
    break;
  }
  return "better";
}

RequestFlow::RequestFlow(EntryContext &context, CallerRequest request,
                         std::shared_ptr<http::Responder> responder,
                         core::Millis arrivedAt, std::function<void()> onDone)
    : Context(context), Request(std::move(request)),
      Answer(std::move(responder)), Deadline(arrivedAt + Request.TimeLimit),
      OnDone(std::move(onDone)) {
  Routing.Request = Request.Request;
  Routing.Organisation = Request.Organisation;
  Routing.Service = Request.Service;
  Routing.RequestClass = Request.Prompt.RequestClass;
  Routing.PromptTokens = Request.Prompt.Tokens;
  Routing.PrefixHashes = Request.Prompt.PrefixHashes;
  Routing.Stream = Request.Stream;
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
    Session = core::SessionId("s-" + Request.Request.str());
    return true;
  }
  const auto session = Context.Sealer.open(Request.SessionText);
  const bool isOwn = session.ok() &&
                     session->Organisation == Request.Organisation &&
                     session->Service == Request.Service;
  if (!isOwn) {
    fail({Errc::InvalidSession, Outcome::NotRun, {}, {}});
    return false;
  }
  Session = session->Session;
  SessionToken = Request.SessionText;
  SessionIsPinned = true;
  Routing.PinnedVersion = session->Version;
  return true;
}

void RequestFlow::plan() {
  Routing.Remaining = remaining();
  route::CutOffSet excluded = Context.CutOffs;
  excluded.insert(RefusedVersions.begin(), RefusedVersions.end());
  if (Context.ConfigurationIsStale && !SessionIsPinned)
    excludeTrials(excluded);
  const auto share = Context.TrialShares.find(Request.Service);
  const route::Plan result = Context.Plans.plan(
      Routing, Request.service(), excluded,
      share == Context.TrialShares.end() ? 0.0 : share->second, Context.now());
  std::visit(core::Overloaded{[&](const route::SinglePlan &it) {
                                begin(Part::Single, it.Version);
                              },
                              [&](const route::CascadePlan &it) {
                                Cascade = it;
                                begin(Part::Draft, it.Cheap);
                              },
                              [&](const route::NoPlan &it) {
                                fail({it.Reason, Outcome::NotRun, {}, {}});
                              }},
             result);
}

void RequestFlow::excludeTrials(route::CutOffSet &excluded) const {
  for (const config::VersionDeclaration &it : Request.service().Versions) {
    if (it.State == config::VersionState::Trial)
      excluded.insert({Request.Service, it.Name, {}});
  }
}

void RequestFlow::begin(Part part, const core::VersionId &version) {
  CurrentPart = part;
  Version = version;
  Tried.clear();
  explain("plan: " + std::string(partName(part)) + " on " + version.str());
  attempt();
}

void RequestFlow::attempt() {
  Routing.Remaining = remaining();
  const auto sidecar = selectSidecar(Context, Request, Routing, Version, Tried);
  if (sidecar)
    send(*sidecar);
  else
    fail({Errc::NoRunner, Outcome::NotRun, DefaultRetryAfter, {}});
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
  // Drops the events of an attempt that is no longer the current one.
  const auto ifCurrent = [weak = weak_from_this(),
                          number = Attempts](auto action) {
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
  const bool isDraft = CurrentPart == Part::Draft;
  rpc::RunRequest run;
  run.Sender = Context.Peers->ownStatusFor(Sidecar);
  run.Request = Request.Request;
  run.Organisation = Request.Organisation;
  run.Service = Request.Service;
  run.Version = Version;
  run.Session = Session;
  run.SessionIsPinned = SessionIsPinned;
  // A draft may be rejected by the check, so a retry must not join or replay
  // it.
  if (CurrentPart == Part::Single)
    run.IdempotencyKey = Request.IdempotencyKey;
  run.Idempotent = Request.Idempotent;
  run.Method = Request.Method;
  run.Target = Request.Target;
  run.Fields = Request.Fields;
  run.Body = isDraft ? toDraftBody(Request.Body) : Request.Body;
  run.Stream = Request.Stream && !isDraft;
  run.Remaining = remaining();
  run.Attempt = Attempts;
  run.Part = partName(CurrentPart);
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
  const bool streams =
      Request.Stream && CurrentPart != Part::Draft && Status < FirstErrorStatus;
  if (!streams) {
    Body += data;
    return;
  }
  Answer.streamEvent(data, labels());
  if (!Answer.isClientDisconnected() || !Call)
    return;
  Call->cancel();
  holdUnknownOutcomeBill();
  explain("client disconnected");
  finish();
}

void RequestFlow::onEnd(const rpc::RunResult &result) {
  Call.reset();
  holdBill(result);
  Context.Peers->onEnded(Sidecar, result, SentAt);
  recordObservations(result);
  if (result.Error)
    recover(result);
  else
    complete(result);
}

void RequestFlow::holdBill(const rpc::RunResult &result) {
  if (!result.BillLine.empty())
    Context.Bills.hold({Request.Request, Request.Service, result.BillLine,
                        Sidecar, Context.now()});
}

// An attempt with an unknown outcome may not have been billed by its sidecar.
// The bill with an unknown outcome stays listed until a bill with a known
// outcome is found.
void RequestFlow::holdUnknownOutcomeBill() {
  ledger::BillPart part;
  part.Version = Version;
  part.Part = partName(CurrentPart);
  part.Result = Outcome::Unknown;
  ledger::Bill bill;
  bill.Request = Request.Request;
  bill.Organisation = Request.Organisation;
  bill.Service = Request.Service;
  bill.Result = Outcome::Unknown;
  bill.Parts = {part};
  bill.At = Context.Time.wall();
  Context.Bills.hold({Request.Request,
                      Request.Service,
                      ledger::encodeBill(bill),
                      {},
                      Context.now()});
}

void RequestFlow::complete(const rpc::RunResult &result) {
  explain("answered by " + Sidecar.str() +
          (result.Replayed ? " from an earlier attempt" : ""));
  if (!Request.Idempotent)
    Context.Owners.setOwner(claimKey(Request), Request.service().Shards,
                            Sidecar);
  if (CurrentPart == Part::Draft)
    checkDraft();
  else
    respond();
}

// An answer that is not a chat completion, such as an error response of the
// engine, goes to the caller unchanged.
void RequestFlow::checkDraft() {
  const auto attributes = readDraft(Body, Version);
  if (!attributes) {
    respond();
    return;
  }
  const double score = route::scoreAnswer(*attributes);
  Context.Plans.observe(route::CheckObservation{
      Request.Service, Routing.RequestClass, Version, score});
  explain("draft checked: " + std::to_string(score) + " of " +
          std::to_string(Cascade.AcceptAbove));
  if (score >= Cascade.AcceptAbove) {
    CheckScore = score;
    respondDraft();
    return;
  }
  Rejected = route::RejectedAnswer{Version, score};
  Context.Events.report(observe::EventNumber::RequestEscalated,
                        {Request.Request, Cascade.Better, {}, {}});
  begin(Part::Better, Cascade.Better);
}

void RequestFlow::respondDraft() {
  if (!Request.Stream) {
    Body = toCallerBody(Body, Request.Body);
  } else {
    for (const std::string &it : toChunks(Body))
      Answer.streamEvent(it, labels());
  }
  respond();
}

void RequestFlow::respond() {
  if (Answer.started())
    Answer.finishStream();
  else
    Answer.respond(Status, Fields, std::move(Body), labels());
  Context.Events.report(observe::EventNumber::RequestEnded,
                        {Request.Request, Version, {}, {}});
  route::GradeObservation answer;
  answer.Service = Request.Service;
  answer.Organisation = Request.Organisation;
  answer.RequestClass = Routing.RequestClass;
  answer.Version = Version;
  answer.CheckScore = CheckScore;
  answer.Replaced = Rejected;
  Context.UngradedAnswers.onAnswer(Request.Request, answer);
  finish();
}

void RequestFlow::recordObservations(const rpc::RunResult &result) {
  route::AnswerObservation observation;
  observation.Runner = toRunner(Sidecar);
  observation.PrefixHashes = Request.Prompt.PrefixHashes;
  observation.PromptTokens = result.PromptTokens;
  observation.CachedTokens = result.CachedTokens;
  observation.TimeToFirstToken = FirstByteAfter;
  observation.Failed = result.Error == Errc::RunnerFailed ||
                       result.Error == Errc::RunnerUnavailable ||
                       result.Error == Errc::OutcomeUnknown;
  Context.Runners.observe(observation, Context.now());
  if (!result.Error)
    Context.Plans.observe(route::DurationObservation{Request.Service, Version,
                                                     Context.now() - SentAt});
}

void RequestFlow::finish() {
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

bool RequestFlow::isOnTrial() const {
  const auto *version = Request.service().findVersion(Version);
  return version != nullptr && version->State == config::VersionState::Trial;
}

AnswerLabels RequestFlow::labels() {
  const bool mustSeal = !SessionIsPinned && !Version.empty();
  const bool sealed = !SessionToken.empty() && SealedVersion == Version;
  if (mustSeal && !sealed) {
    SealedVersion = Version;
    SessionToken =
        Context.Sealer.seal({Session, Request.Organisation, Request.Service,
                             Version, Context.Time.wall()});
  }
  return {Request.Request, Version, SessionToken};
}

} // namespace cowslipridge::entry
