#include "cowslipridge/sidecar/Sidecar.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/ledger/BillCodec.hpp"
#include "cowslipridge/sidecar/RequestChecks.hpp"

#include <algorithm>
#include <xxhash.h>

namespace cowslipridge::sidecar {

using core::Errc;

namespace {

/// The adaptive concurrency limit never falls below the declared limit divided
/// by this number. Engines batch requests, so noise in the durations of short
/// answers must not serialise them.
constexpr unsigned MinConcurrencyDivisor = 4;

/// Maximum number of evidence records in one status message.
constexpr std::size_t MaxEvidencePerMessage = 16;
/// Maximum number of grades in one status message.
constexpr std::size_t MaxGradesPerMessage = 32;
/// Maximum number of bill receipts in one status message.
constexpr std::size_t MaxReceiptsPerMessage = 128;

/// Interval between checks for lost grades and expired answers.
constexpr core::Millis SweepInterval{1'000};

limits::AdmissionSettings
toAdmissionSettings(const config::ServiceDeclaration &service) {
  limits::AdmissionSettings settings;
  settings.MaxConcurrency = service.MaxConcurrency;
  settings.MinConcurrency =
      std::max(1U, service.MaxConcurrency / MinConcurrencyDivisor);
  settings.MaxQueue = service.MaxQueue;
  return settings;
}

/// One caller of a shared answer. If the caller abandons its call, the request
/// continues, so that a retry finds the answer.
class Follower final : public rpc::IncomingCall {
public:
  Follower(std::shared_ptr<SharedAnswer> answer,
           std::shared_ptr<rpc::AnswerSink> sink)
      : Answer(std::move(answer)), Sink(std::move(sink)) {}
  void abandon() override { Answer->unfollow(Sink.get()); }

private:
  std::shared_ptr<SharedAnswer> Answer;
  std::shared_ptr<rpc::AnswerSink> Sink;
};

} // namespace

Sidecar::Sidecar(rpc::EventLoop &loop, const core::Clock &time,
                 observe::EventLog &events, SidecarSettings settings,
                 rpc::ConfigurationPort source, OpenJournal openJournal,
                 OpenRunner openRunner)
    : Context{loop,    time,    events,  std::move(settings),
              nullptr, nullptr, nullptr, nullptr,
              nullptr, false,   false},
      Source(std::move(source)), MakeJournal(std::move(openJournal)),
      MakeRunner(std::move(openRunner)), Pauses(Context.Settings.PauseLimit) {
  const rollout::EvidenceSource self{Context.Settings.Instance,
                                     Context.Settings.Start};
  Context.Guard = std::make_unique<rollout::ExposureGuard>(
      self, Context.Settings.Start.value());
}

Sidecar::~Sidecar() = default;

void Sidecar::configure(std::shared_ptr<const config::Bundle> bundle) {
  if (Context.Configuration && bundle->Number <= Context.Configuration->Number)
    return;
  Context.Configuration = std::move(bundle);
  const config::ServiceDeclaration *service = Context.service();
  if (service == nullptr)
    return;
  if (!Context.Journal)
    createComponents(*service);
  else
    Context.AdmissionControl->reconfigure(toAdmissionSettings(*service));
  Context.Guard->configure(*service);
  recheckQueuedRequests();
}

void Sidecar::createComponents(const config::ServiceDeclaration &service) {
  Context.AdmissionControl = std::make_unique<limits::Admission>(
      toAdmissionSettings(service), Context.Settings.Start.value());
  Context.Backend = MakeRunner(service.Kind);
  Context.Journal = MakeJournal(service);
}

void Sidecar::setRolloutListener(
    std::function<void(const rollout::RolloutActions &)> listener) {
  RolloutListener = std::move(listener);
}

void Sidecar::applyGrades(const std::vector<backing::Grade> &grades) {
  for (const backing::Grade &it : grades) {
    Grades.onGrade(it);
    report(Context.Guard->onGrade(it.Request, it.Score, Context.now()));
  }
}

void Sidecar::applyRolloutRecord(const rollout::RolloutRecord &record) {
  if (record.Step != RolloutStep)
    Context.Events.report(observe::EventNumber::RolloutAdvanced,
                          {{},
                           record.Trial,
                           {},
                           std::to_string(record.Step) + " steps complete"});
  RolloutStep = record.Step;
  Context.Guard->setStep(record.Step);
  for (const rollout::CutOff &it : record.CutOffs)
    Context.Guard->onCutOff(it);
}

void Sidecar::setTrialPeers(unsigned rank, unsigned count) {
  Context.Guard->setPeers(rank, count);
}

void Sidecar::report(const rollout::RolloutActions &actions) {
  for (const rollout::RolloutAction &action : actions) {
    if (const auto *it = std::get_if<rollout::CutOff>(&action))
      Context.Events.report(
          observe::EventNumber::VersionCutOff,
          {{}, it->Version, {}, it->Organisation.str() + " " + it->Reason});
  }
  if (!actions.empty() && RolloutListener)
    RolloutListener(actions);
}

void Sidecar::startTicking() { tick(); }

void Sidecar::tick() {
  const core::Millis now = Context.now();
  if (const auto pause = Pauses.tick(now)) {
    Context.Events.report(observe::EventNumber::PauseDetected,
                          {{}, {}, {}, std::to_string(pause->count()) + " ms"});
  }
  if (Context.AdmissionControl)
    apply(Context.AdmissionControl->tick(now));
  if (now - LastSweep >= SweepInterval)
    sweep(now);
  Context.Loop.postAfter(Context.Settings.TickInterval,
                         [weak = weak_from_this()] {
                           if (const auto self = weak.lock())
                             self->tick();
                         });
}

void Sidecar::sweep(core::Millis now) {
  LastSweep = now;
  Context.Guard->advance(now);
  if (const auto *service = Context.service())
    Answers.expire(now - service->DedupWindow);
}

void Sidecar::announceDraining() { Context.AnnouncesDraining = true; }

void Sidecar::drain() {
  Context.AnnouncesDraining = true;
  Context.IsDraining = true;
  if (Context.AdmissionControl)
    apply(Context.AdmissionControl->refuseQueued(Errc::Leaving, Context.now()));
}

bool Sidecar::idle() const { return Flows.empty(); }

std::shared_ptr<ledger::Ledger> Sidecar::journal() const {
  return Context.Journal;
}

std::shared_ptr<rpc::IncomingCall>
Sidecar::run(rpc::RunRequest request, std::shared_ptr<rpc::AnswerSink> sink) {
  onPeerStatus(request.Sender);
  const std::optional<Errc> refusal = refusalOf(request);
  if (refusal) {
    auto flow = std::make_shared<RunFlow>(Context, *this, core::RequestId(),
                                          std::move(request), std::move(sink));
    flow->refuse(*refusal, {});
    return flow;
  }
  if (request.Idempotent && !request.IdempotencyKey.empty())
    return runKeyed(std::move(request), std::move(sink));
  return admit(std::move(request), std::move(sink));
}

// Attaches a retry to the request in progress, or replays the stored answer.
std::shared_ptr<rpc::IncomingCall>
Sidecar::runKeyed(rpc::RunRequest request,
                  std::shared_ptr<rpc::AnswerSink> sink) {
  const std::uint64_t bodyHash =
      XXH3_64bits(request.Body.data(), request.Body.size());
  const KeyedAnswerCache::Item *earlier = Answers.find(request.Request);
  if (earlier != nullptr && earlier->BodyHash != bodyHash) {
    rpc::RunResult result;
    result.Result = core::Outcome::NotRun;
    result.Error = Errc::Malformed;
    result.Detail = "the key was used for another request";
    result.Callee = statusFor(request.Sender.Instance);
    sink->end(std::move(result));
    return nullptr;
  }
  if (earlier != nullptr) {
    Context.Events.report(observe::EventNumber::RunReplayed,
                          {request.Request, request.Version, {}, {}});
    earlier->Answer->follow(sink);
    return std::make_shared<Follower>(earlier->Answer, std::move(sink));
  }
  const std::shared_ptr<SharedAnswer> answer =
      Answers.begin(request.Request, bodyHash, Context.now());
  answer->follow(sink);
  admit(std::move(request), answer);
  return std::make_shared<Follower>(answer, std::move(sink));
}

std::shared_ptr<RunFlow> Sidecar::admit(rpc::RunRequest request,
                                        std::shared_ptr<rpc::AnswerSink> sink) {
  Grades.onRequest(request.Request, request.Sender.Instance);
  core::RequestId ticket(request.Request.str() + "#" +
                         std::to_string(NextTicket++));
  auto flow = std::make_shared<RunFlow>(Context, *this, ticket,
                                        std::move(request), std::move(sink));
  Flows.emplace(std::move(ticket), flow);
  apply(Context.AdmissionControl->arrive(flow->arrival(), Context.now()));
  return flow;
}

void Sidecar::apply(const limits::AdmissionActions &actions) {
  const auto withFlow = [this](const core::RequestId &ticket, auto action) {
    const auto it = Flows.find(ticket);
    if (it == Flows.end())
      return;
    const std::shared_ptr<RunFlow> flow = it->second;
    action(*flow);
  };
  for (const limits::AdmissionAction &action : actions) {
    std::visit(core::Overloaded{[&](const limits::StartRequest &it) {
                                  withFlow(it.Request,
                                           [](RunFlow &flow) { flow.start(); });
                                },
                                [](const limits::QueueRequest &) {},
                                [&](const limits::RefuseRequest &it) {
                                  withFlow(it.Request, [&](RunFlow &flow) {
                                    flow.refuse(it.Reason, it.RetryAfter);
                                  });
                                }},
               action);
  }
}

void Sidecar::onFlowEnd(const core::RequestId &ticket) { Flows.erase(ticket); }

void Sidecar::onPeerStatus(const rpc::PeerStatus &status) {
  const core::Generation own = Context.Configuration
                                   ? Context.Configuration->Number
                                   : core::Generation();
  Source.OnPeer(status, Context.now());
  for (const rollout::EvidenceRecord &it : status.Evidence)
    report(Context.Guard->onEvidence(it, Context.now()));
  for (const rpc::CutOffNotification &it : status.CutOffs) {
    if (it.Configuration == own)
      Context.Guard->onCutOff(it.Cut);
  }
}

rpc::PeerStatus Sidecar::status() const {
  rpc::PeerStatus status;
  status.Instance = Context.Settings.Instance;
  status.Start = Context.Settings.Start;
  status.Leaving = Context.AnnouncesDraining;
  if (Context.Configuration)
    status.Configuration = Context.Configuration->Number;
  status.ConfigurationAge = Source.State().Age;
  if (Context.AdmissionControl) {
    status.InFlight = Context.AdmissionControl->inFlight();
    status.Queued = Context.AdmissionControl->queued();
    status.ConcurrencyLimit = Context.AdmissionControl->concurrencyLimit();
    status.PredictedWait =
        Context.AdmissionControl->predictedWait(Context.now());
  }
  status.TrialShare = Context.Guard->trialShare();
  for (const rollout::CutOff &it : Context.Guard->cutOffs())
    status.CutOffs.push_back({it, status.Configuration});
  return status;
}

rpc::PeerStatus Sidecar::statusFor(const core::InstanceId &peer) {
  rpc::PeerStatus reply = status();
  EvidenceToForward.add(
      Context.Guard->takeChangedEvidence(MaxEvidencePerMessage));
  reply.Evidence = EvidenceToForward.take(peer, MaxEvidencePerMessage);
  reply.Grades = Grades.take(peer, MaxGradesPerMessage);
  reply.Billed = Receipts.take(peer, MaxReceiptsPerMessage);
  return reply;
}

rpc::PeerStatus Sidecar::exchange(const rpc::PeerStatus &status) {
  onPeerStatus(status);
  return statusFor(status.Instance);
}

rpc::BundleContent Sidecar::bundle() { return Source.Bundle(); }

core::Generation Sidecar::offerBundle(const core::InstanceId &sender,
                                      rpc::BundleContent content) {
  Source.OnOffer(sender, std::move(content));
  return Source.State().Number;
}

// Stores bills of another sidecar, which may have failed.
unsigned Sidecar::deliverBills(const core::InstanceId &sender,
                               const std::vector<std::string> &lines) {
  unsigned accepted = 0;
  for (const std::string &line : lines) {
    const core::Result<ledger::Bill> bill = ledger::decodeBill(line);
    const bool own = bill.ok() && bill->Service == Context.Settings.Service;
    if (!own || !Context.Journal || !Context.Journal->hasCapacity())
      continue;
    store(*bill, sender);
    ++accepted;
  }
  return accepted;
}

void Sidecar::store(const ledger::Bill &bill, const core::InstanceId &entry) {
  Context.Journal->bill(bill, [weak = weak_from_this(), &loop = Context.Loop,
                               entry, request = bill.Request] {
    loop.post([weak, entry, request] {
      if (const auto self = weak.lock())
        self->Receipts.add(entry, request);
    });
  });
}

std::optional<Errc> Sidecar::refusalOf(const rpc::RunRequest &request) const {
  return findRefusal(request,
                     {Context.Settings.Service, Context.Settings.Versions,
                      Context.Configuration.get(), Context.IsDraining});
}

// Applies a new configuration to requests that were queued under an older one
// and have not started.
void Sidecar::recheckQueuedRequests() {
  const auto flows = Flows;
  for (const auto &[ticket, flow] : flows)
    flow->onConfiguration();
}

} // namespace cowslipridge::sidecar
