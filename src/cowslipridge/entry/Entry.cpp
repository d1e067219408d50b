#include "cowslipridge/entry/Entry.hpp"

namespace cowslipridge::entry {

using core::Errc;
using core::Outcome;

namespace {

constexpr core::Millis ComeBackAfter{1'000};

Failure refusal(std::error_code ec) {
  const bool own = ec.category() == core::errorCategory();
  Failure failure;
  failure.Reason = own ? static_cast<Errc>(ec.value()) : Errc::Internal;
  return failure;
}

} // namespace

Entry::Entry(rpc::EventLoop &loop, const core::Clock &time,
             observe::EventLog &events, const EntrySettings &settings)
    : Context{loop,
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
              ExplainLog(settings.MaxExplanations)} {
  Context.Peers->setOwnStatus([this] { return status(); });
  Context.Peers->onStatus([this](const rpc::PeerStatus &it) { hear(it); });
  Context.Peers->onSuspect([this](const core::InstanceId &sidecar) {
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

void Entry::onBehind(
    std::function<void(const core::InstanceId &ahead)> listener) {
  BehindListener = std::move(listener);
}

void Entry::startTicking() { Context.Peers->startTicking(); }

void Entry::drain() { Leaving = true; }

void Entry::handle(http::Request message,
                   std::shared_ptr<http::Responder> responder) {
  const core::Millis arrivedAt = Context.now();
  std::shared_ptr<const config::Bundle> bundle = configuration();
  AnswerWriter answer(responder);
  if (!bundle) {
    answer.fail({Errc::StaleGeneration, Outcome::NotRun, ComeBackAfter, {}},
                {});
    return;
  }
  core::Result<CallerRequest> request =
      parseRequest(std::move(bundle), std::move(message));
  if (!request) {
    answer.fail(refusal(request.error()), {});
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
  if (Leaving) {
    AnswerWriter(std::move(responder))
        .fail({Errc::Leaving, Outcome::NotRun, ComeBackAfter, {}},
              {request.Request, {}, {}});
    return;
  }
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

rpc::PeerStatus Entry::status() const {
  rpc::PeerStatus status;
  status.Instance = Context.Settings.Instance;
  status.Start = Context.Settings.Start;
  status.Leaving = Leaving;
  if (const auto bundle = configuration())
    status.Configuration = bundle->Number;
  return status;
}

void Entry::hear(const rpc::PeerStatus &status) {
  const auto bundle = configuration();
  const core::Generation own = bundle ? bundle->Number : core::Generation();
  if (status.Configuration > own && BehindListener)
    BehindListener(status.Instance);
  for (const rpc::CutOffNotice &it : status.CutOffs) {
    if (it.Configuration == own)
      Context.CutOffs.insert(
          {it.Cut.Service, it.Cut.Version, it.Cut.Organisation});
  }
}

} // namespace cowslipridge::entry
