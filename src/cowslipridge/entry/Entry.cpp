#include "cowslipridge/entry/Entry.hpp"

namespace cowslipridge::entry {

using core::Errc;
using core::Outcome;

namespace {

/// Retry-After of requests that arrive before the first configuration or while
/// the entry drains.
constexpr core::Millis UnavailableRetryAfter{1'000};
constexpr core::Millis BundleTimeout{5'000};
/// Maximum number of evidence records in one status message.
constexpr std::size_t MaxEvidencePerMessage = 16;

Failure makeFailure(std::error_code ec) {
  const bool isCoreError = ec.category() == core::errorCategory();
  Failure failure;
  failure.Reason = isCoreError ? static_cast<Errc>(ec.value()) : Errc::Internal;
  return failure;
}

} // namespace

Entry::Entry(rpc::EventLoop &loop, const core::Clock &time,
             observe::EventLog &events, const EntrySettings &settings,
             rpc::ConfigurationPort source)
    : Source(std::move(source)),
      Context{loop,
              time,
              events,
              settings,
              session::TokenSealer(settings.SessionKey),
              std::make_shared<Fleet>(
                  loop, time, events,
                  FleetSettings{settings.Instance, settings.FleetKey}),
              route::Planner(settings.Seed),
              route::RunnerChooser(settings.Seed + 1),
              limits::RetryBudget({}),
              {},
              ExplainLog(settings.MaxExplanations),
              {},
              {},
              {},
              {},
              false},
      Delivery(std::make_shared<BillDelivery>(Context)) {
  Context.Peers->setOwnStatus(
      [this](const core::InstanceId &peer) { return statusFor(peer); });
  Context.Peers->setStatusListener(
      [this](const rpc::PeerStatus &it, core::Millis sentAfter) {
        onPeerStatus(it, sentAfter);
      });
  Context.Peers->setSuspectListener([this](const core::InstanceId &sidecar) {
    const std::set<std::shared_ptr<RequestFlow>> flows = Flows;
    for (const auto &it : flows)
      it->onSuspect(sidecar);
  });
}

Entry::~Entry() = default;

void Entry::configure(std::shared_ptr<const config::Bundle> bundle) {
  const std::lock_guard lock(ConfigurationGuard);
  if (!Configuration || bundle->Number > Configuration->Number)
    Configuration = std::move(bundle);
}

std::shared_ptr<const config::Bundle> Entry::configuration() const {
  const std::lock_guard lock(ConfigurationGuard);
  return Configuration;
}

void Entry::startTicking() {
  Context.Peers->startTicking();
  Delivery->startTicking();
}

void Entry::drain() { IsDraining = true; }

void Entry::close() {
  drain();
  Context.Peers->close();
}

void Entry::handle(http::Request message,
                   std::shared_ptr<http::Responder> responder) {
  const core::Millis arrivedAt = Context.now();
  std::shared_ptr<const config::Bundle> bundle = configuration();
  AnswerWriter answer(responder);
  if (!bundle) {
    answer.fail(
        {Errc::StaleGeneration, Outcome::NotRun, UnavailableRetryAfter, {}},
        {});
    return;
  }
  core::Result<CallerRequest> request =
      parseRequest(std::move(bundle), std::move(message));
  if (!request) {
    answer.fail(makeFailure(request.error()), {});
    return;
  }
  Context.Loop.post([self = shared_from_this(), arrivedAt,
                     responder = std::move(responder),
                     it = std::move(request).value()]() mutable {
    self->begin(std::move(it), std::move(responder), arrivedAt);
  });
}

void Entry::begin(CallerRequest request,
                  std::shared_ptr<http::Responder> responder,
                  core::Millis arrivedAt) {
  if (IsDraining) {
    AnswerWriter(std::move(responder))
        .fail({Errc::Leaving, Outcome::NotRun, UnavailableRetryAfter, {}},
              {request.Request, {}, {}});
    return;
  }
  clearOldCutOffs(request.Configuration->Number);
  Context.ConfigurationIsStale = Source.State().Stale;
  const auto slot = std::make_shared<std::weak_ptr<RequestFlow>>();
  auto flow = std::make_shared<RequestFlow>(Context, std::move(request),
                                            std::move(responder), arrivedAt,
                                            [this, slot] {
                                              if (const auto it = slot->lock())
                                                Flows.erase(it);
                                            });
  *slot = flow;
  Flows.insert(flow);
  flow->start();
}

rpc::PeerStatus Entry::statusFor(const core::InstanceId &peer) {
  rpc::PeerStatus status;
  status.Instance = Context.Settings.Instance;
  status.Start = Context.Settings.Start;
  status.Leaving = IsDraining;
  if (const auto bundle = configuration())
    status.Configuration = bundle->Number;
  status.ConfigurationAge = Source.State().Age;
  status.Evidence = EvidenceToForward.take(peer, MaxEvidencePerMessage);
  if (CutOffGeneration == status.Configuration) {
    for (const auto &[key, notice] : CutOffs)
      status.CutOffs.push_back(notice);
  }
  return status;
}

void Entry::onPeerStatus(const rpc::PeerStatus &status,
                         core::Millis sentAfter) {
  Source.OnPeer(status, sentAfter);
  offerNewerBundle(status);
  if (const auto *it = Context.Peers->directory().find(status.Instance))
    Context.TrialShares[it->Record.Service] = status.TrialShare;
  for (const rollout::EvidenceRecord &it : status.Evidence) {
    if (Evidence.merge(it))
      EvidenceToForward.add({it});
  }
  for (const rpc::CutOffNotification &it : status.CutOffs)
    applyCutOff(it);
  Context.Bills.onStored(status.Instance, status.Billed);
  for (const backing::Grade &it : status.Grades) {
    if (const auto observation = Context.UngradedAnswers.onGrade(it))
      Context.Plans.observe(*observation, Context.now());
  }
}

// Offers the configuration to a sidecar that has an older one, because a
// sidecar cannot call its entries.
void Entry::offerNewerBundle(const rpc::PeerStatus &status) {
  rpc::PeerClient *client = Context.Peers->client(status.Instance);
  if (client == nullptr || status.Configuration >= Source.State().Number ||
      !OffersInProgress.insert(status.Instance).second)
    return;
  client->offerBundle(Source.Bundle(), BundleTimeout,
                      [weak = weak_from_this(), peer = status.Instance](
                          const core::Result<core::Generation> & /*inForce*/) {
                        if (const auto self = weak.lock())
                          self->OffersInProgress.erase(peer);
                      });
}

void Entry::fetchBundle(
    const core::InstanceId &peer,
    std::function<void(core::Result<rpc::BundleContent>)> done) {
  rpc::PeerClient *client = Context.Peers->client(peer);
  if (client == nullptr)
    done(Errc::NoRunner);
  else
    client->fetchBundle(BundleTimeout, std::move(done));
}

// Cut-offs apply to one generation only; a newer configuration clears them.
void Entry::clearOldCutOffs(core::Generation current) {
  if (CutOffGeneration == current)
    return;
  CutOffs.clear();
  Context.CutOffs.clear();
  CutOffGeneration = current;
}

void Entry::applyCutOff(const rpc::CutOffNotification &notice) {
  const auto bundle = configuration();
  if (!bundle || notice.Configuration != bundle->Number)
    return;
  clearOldCutOffs(bundle->Number);
  const route::CutOffKey key{notice.Cut.Service, notice.Cut.Version,
                             notice.Cut.Organisation};
  CutOffs.emplace(key, notice);
  Context.CutOffs.insert(key);
}

} // namespace cowslipridge::entry
