#include "cowslipridge/sidecar/RunFlow.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/ledger/BillCodec.hpp"
#include "cowslipridge/ledger/ClaimKey.hpp"
#include "cowslipridge/sidecar/Billing.hpp"

#include <algorithm>

namespace cowslipridge::sidecar {

using core::Errc;
using core::Outcome;

namespace {

/// Maximum size of an answer of a claimed call that is stored for retries, in
/// bytes.
constexpr std::size_t MaxStoredAnswerBytes = 4'096;

/// Retry-After for a trial version whose exposure credits are used up.
constexpr core::Millis ExposureRetryAfter{1'000};

/// Retry-After while the journal cannot be written.
constexpr core::Millis StoreRetryAfter{1'000};

} // namespace

RunFlow::RunFlow(SidecarContext &context, FlowOwner &owner,
                 core::RequestId ticket, rpc::RunRequest request,
                 std::shared_ptr<rpc::AnswerSink> sink)
    : Context(context), Owner(owner), Ticket(std::move(ticket)),
      Request(std::move(request)), Deadline(context.now() + Request.Remaining),
      Sink(std::move(sink)) {}

limits::Arrival RunFlow::arrival() const {
  const config::ServiceDeclaration *service = Context.service();
  limits::Arrival arrival;
  arrival.Request = Ticket;
  arrival.Organisation = Request.Organisation;
  arrival.Deadline = Deadline;
  // ExpectedWork stays unset: the mean of recent durations would hide that the
  // runner has become slower.
  arrival.Deferrable = service->Deferrable;
  if (const auto *it = service->findOrganisation(Request.Organisation))
    arrival.Weight = it->Weight;
  return arrival;
}

void RunFlow::start() {
  Admitted = true;
  StartedAt = Context.now();
  if (Abandoned || Deadline <= StartedAt) {
    refuse(Abandoned ? Errc::Cancelled : Errc::DeadlineExceeded, {});
    return;
  }
  if (const auto refusal = Owner.refusalOf(Request)) {
    refuse(*refusal, {});
    return;
  }
  if (!Context.Guard->admits(Request.Version, Request.Organisation)) {
    refuseNotAdmitted();
    return;
  }
  if (!Context.Journal->hasCapacity())
    refuse(Errc::StoreUnavailable, StoreRetryAfter);
  else if (mustClaim())
    claim();
  else
    run();
}

// A cut-off is final; exposure credits are returned with the next grades.
void RunFlow::refuseNotAdmitted() {
  for (const rollout::CutOff &it : Context.Guard->cutOffs()) {
    const bool applies =
        it.Organisation.empty() || it.Organisation == Request.Organisation;
    if (it.Version != Request.Version || !applies)
      continue;
    refuse(Request.SessionIsPinned ? Errc::SessionEnded
                                   : Errc::VersionWithdrawn,
           {});
    return;
  }
  refuse(Errc::Overloaded, ExposureRetryAfter);
}

void RunFlow::claim() {
  const ledger::Claim claim{key(), Request.Request, Context.Time.wall()};
  Context.Journal->claim(claim, [self = shared_from_this()](
                                    const ledger::ClaimDecision &decision) {
    self->Context.Loop.post([self, decision] { self->onClaim(decision); });
  });
}

void RunFlow::onClaim(const ledger::ClaimDecision &decision) {
  std::visit(
      core::Overloaded{
          [&](const ledger::RunClaimed &) {
            Context.Events.report(observe::EventNumber::ClaimCommitted,
                                  {Request.Request, Request.Version, {}, {}});
            run();
          },
          [&](const ledger::ReplayOutcome &it) { replay(it.Earlier); },
          [&](const ledger::AlreadyRunning &) {
            Context.Journal->attach(key(),
                                    [self = shared_from_this()](
                                        const ledger::ClaimOutcome &outcome) {
                                      self->Context.Loop.post([self, outcome] {
                                        self->replay(outcome);
                                      });
                                    });
          },
          [&](const ledger::ClaimRefused &it) {
            refuse(it.Reason, it.RetryAfter, it.Owner);
          }},
      decision);
}

// Answers a retry with the outcome of the first attempt.
void RunFlow::replay(const ledger::ClaimOutcome &earlier) {
  if (earlier.Result == Outcome::NotRun) {
    refuse(Errc::StoreUnavailable, StoreRetryAfter);
    return;
  }
  Context.Events.report(observe::EventNumber::RunReplayed,
                        {Request.Request, Request.Version, {}, {}});
  rpc::RunResult result;
  result.Result = earlier.Result;
  result.Replayed = true;
  if (earlier.Result == Outcome::Ran) {
    Sink->head(earlier.Status, {});
    Sink->frame(earlier.Answer);
  } else {
    result.Error = Errc::OutcomeUnknown;
  }
  releaseSlot(false);
  end(std::move(result));
}

void RunFlow::run() {
  std::optional<Errc> refusal = Owner.refusalOf(Request);
  if (!refusal && Deadline <= Context.now())
    refusal = Errc::DeadlineExceeded;
  if (refusal) {
    recordClaimOutcome(Outcome::NotRun);
    refuse(*refusal, {});
    return;
  }
  Running = true;
  Context.Guard->onStart(Request.Request, Request.Version, Request.Organisation,
                         Context.now());
  Context.Events.report(observe::EventNumber::RunStarted,
                        {Request.Request, Request.Version, {}, {}});
  runner::Call call;
  call.Request = Request.Request;
  const auto *version = Context.service()->findVersion(Request.Version);
  if (version != nullptr)
    call.EngineModel = version->EngineModel;
  call.Message = {Request.Method, Request.Target, Request.Fields, Request.Body};
  call.Stream = Request.Stream;
  call.Idempotent = Request.Idempotent;
  call.Timeout = Deadline - Context.now();
  Call = Context.Backend->start(call, callEvents());
}

// Returns callbacks that post the runner's events to the loop's thread.
runner::CallEvents RunFlow::callEvents() {
  const std::shared_ptr<RunFlow> self = shared_from_this();
  rpc::EventLoop &loop = Context.Loop;
  runner::CallEvents events;
  events.OnHead = [self, &loop](int status, const http::Headers &fields) {
    loop.post([self, status, fields] { self->onHead(status, fields); });
  };
  events.OnData = [self, &loop](std::string data) {
    loop.post([self, data = std::move(data)]() mutable {
      self->onData(std::move(data));
    });
  };
  events.OnEnd = [self, &loop](std::error_code ec, Outcome outcome,
                               runner::Usage usage) {
    loop.post(
        [self, ec, outcome, usage] { self->onRunnerEnd(ec, outcome, usage); });
  };
  return events;
}

void RunFlow::onHead(int status, const http::Headers &fields) {
  Status = status;
  Sink->head(status, fields);
}

void RunFlow::onData(std::string data) {
  ++Frames;
  if (mustClaim() && !AnswerTooLarge) {
    StoredAnswer += data;
    AnswerTooLarge = StoredAnswer.size() > MaxStoredAnswerBytes;
  }
  const bool keepsUp = Sink->frame(std::move(data));
  if (!keepsUp && !mustClaim() && Call)
    Call->cancel();
}

void RunFlow::onRunnerEnd(std::error_code ec, Outcome outcome,
                          runner::Usage usage) {
  Call.reset();
  // A retry is answered with this, so it must not be an answer that broke off.
  recordClaimOutcome(outcome);
  // An abandoned answer was generated in part; the received frames are billed.
  if (Abandoned && outcome == Outcome::Unknown && Frames > 0) {
    outcome = Outcome::Ran;
    usage.AnswerTokens = std::max(usage.AnswerTokens, Frames);
  }
  if (outcome == Outcome::NotRun)
    Context.Guard->onNotRun(Request.Request);
  if (Request.Billable && outcome != Outcome::NotRun)
    bill(outcome, usage);
  releaseSlot(static_cast<bool>(ec));
  rpc::RunResult result;
  result.Result = outcome;
  result.Error = ec;
  result.PromptTokens = usage.PromptTokens;
  result.CachedTokens = usage.CachedTokens;
  result.AnswerTokens = usage.AnswerTokens;
  result.BillLine = BillLine;
  end(std::move(result));
}

void RunFlow::recordClaimOutcome(Outcome outcome) {
  if (!mustClaim())
    return;
  ledger::ClaimOutcome record;
  record.Key = key();
  record.Result = outcome;
  record.Status = Status;
  if (!AnswerTooLarge)
    record.Answer = StoredAnswer;
  Context.Journal->recordOutcome(record, [] {});
}

void RunFlow::bill(Outcome outcome, const runner::Usage &usage) {
  const config::VersionDeclaration *version =
      Context.service()->findVersion(Request.Version);
  config::VersionDeclaration unpriced;
  unpriced.Name = Request.Version;
  const ledger::Bill newBill =
      makeBill(Request, version == nullptr ? unpriced : *version, outcome,
               usage, Context.Time.wall());
  BillLine = ledger::encodeBill(newBill);
  Owner.store(newBill, Request.Sender.Instance);
}

void RunFlow::releaseSlot(bool failed) {
  if (!Admitted)
    return;
  Admitted = false;
  const core::Millis elapsed = Context.now() - StartedAt;
  Owner.apply(
      Context.AdmissionControl->finish(Ticket, elapsed, failed, Context.now()));
}

void RunFlow::refuse(Errc reason, core::Millis retryAfter,
                     const core::InstanceId &owner) {
  Context.Events.report(
      observe::EventNumber::RunRefused,
      {Request.Request, Request.Version, {}, std::string(core::slug(reason))});
  releaseSlot(false);
  rpc::RunResult result;
  result.Result = Outcome::NotRun;
  result.Error = reason;
  result.RetryAfter = retryAfter;
  result.Owner = owner;
  end(std::move(result));
}

void RunFlow::end(rpc::RunResult result) {
  if (Ended)
    return;
  Ended = true;
  const std::shared_ptr<RunFlow> self = shared_from_this();
  if (Running) {
    Context.Events.report(observe::EventNumber::RunEnded,
                          {Request.Request,
                           Request.Version,
                           {},
                           std::string(core::toString(result.Result))});
  }
  result.Version = Request.Version;
  result.Callee = Owner.statusFor(Request.Sender.Instance);
  Sink->end(std::move(result));
  Owner.onFlowEnd(Ticket);
}

void RunFlow::onConfiguration() {
  if (Admitted || Running || Ended)
    return;
  const auto refusal = Owner.refusalOf(Request);
  if (!refusal)
    return;
  Owner.apply(Context.AdmissionControl->cancel(Ticket, Context.now()));
  refuse(*refusal, {});
}

// A claimed call is not cancelled, because its outcome is known only after it
// ends.
void RunFlow::abandon() {
  if (Abandoned || Ended)
    return;
  Abandoned = true;
  if (!Admitted && !Running)
    Owner.apply(Context.AdmissionControl->cancel(Ticket, Context.now()));
  if (!Admitted && !Running && !Ended)
    refuse(Errc::Cancelled, {});
  else if (Call && !mustClaim())
    Call->cancel();
}

ledger::IdempotencyKey RunFlow::key() const {
  return ledger::claimKeyOf(Request.Organisation, Request.Service,
                            Request.IdempotencyKey, Request.Request);
}

} // namespace cowslipridge::sidecar
