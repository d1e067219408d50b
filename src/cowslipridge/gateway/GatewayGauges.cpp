#include "cowslipridge/gateway/GatewayGauges.hpp"

namespace cowslipridge::gateway {

namespace {

using observe::GaugeName;

constexpr double MillisPerSecond = 1'000;

} // namespace

void GatewayGauges::update(const GaugeSources &sources) {
  updateFleet(sources);
  updateServices(sources);
  updateTrials(sources.RequestDispatcher);
}

void GatewayGauges::set(GaugeName name, double value) {
  Metrics.set(name, {}, value);
}

void GatewayGauges::set(GaugeName name, const core::ServiceId &service,
                        double value) {
  Metrics.set(name, {.Service = service, .Version = {}, .Outcome = {}}, value);
}

void GatewayGauges::updateFleet(const GaugeSources &sources) {
  Dispatcher &dispatcher = sources.RequestDispatcher;
  set(GaugeName::InFlight, static_cast<double>(sources.InFlight));
  set(GaugeName::Connections, static_cast<double>(sources.Connections));
  set(GaugeName::BufferedBytes, static_cast<double>(sources.BufferedBytes));
  set(GaugeName::PeersReporting, static_cast<double>(sources.ReportingPeers));
  set(GaugeName::MembersUsable,
      static_cast<double>(dispatcher.servers().all().size()));
  set(GaugeName::RunnersEjected,
      static_cast<double>(dispatcher.ejected(sources.Now)));
  const auto quarantined = [&](limits::TraitKind kind) {
    return static_cast<double>(dispatcher.crashes().quarantined(kind));
  };
  set(GaugeName::SegmentsQuarantined,
      quarantined(limits::TraitKind::PromptSegment));
  set(GaugeName::ContentsQuarantined, quarantined(limits::TraitKind::Content));
  set(GaugeName::RunnersRateLimited,
      static_cast<double>(dispatcher.rateLimited()));
  set(GaugeName::DomainsEvacuated,
      static_cast<double>(dispatcher.evacuations().commanded().size()));
  set(GaugeName::RunnersCold, static_cast<double>(dispatcher.coldRunners()));
  if (dispatcher.catalogue())
    set(GaugeName::ConfigurationGeneration,
        static_cast<double>(
            dispatcher.catalogue()->catalogue().Version.value()));
  // One watch delivers the configuration and the runners, so that both have the
  // same age.
  const core::Millis age = sources.StoreUnavailableSince
                               ? sources.Now - *sources.StoreUnavailableSince
                               : core::Millis();
  set(GaugeName::ConfigurationAgeSeconds,
      static_cast<double>(age.count()) / MillisPerSecond);
}

void GatewayGauges::updateServices(const GaugeSources &sources) {
  for (const auto &[service, count] : sources.RequestDispatcher.waiting())
    set(GaugeName::Queued, service, count);
  for (const auto &[service, left] :
       sources.RequestDispatcher.remainingRetries(sources.Now))
    set(GaugeName::RetryBudgetLeft, service, left);
  for (const auto &[service, state] :
       sources.RequestDispatcher.retryBudgets(sources.Now))
    set(GaugeName::RetryBudgetMembers, service,
        static_cast<double>(state.Members));
}

void GatewayGauges::updateTrials(const Dispatcher &dispatcher) {
  const auto inProgress = dispatcher.trials().activeRollouts();
  for (const core::ServiceId &it : Trials)
    set(GaugeName::TrialShare, it, 0);
  Trials = {inProgress.begin(), inProgress.end()};
  const rollout::RouteEvidenceTable evidence = dispatcher.pooledEvidence();
  for (const core::ServiceId &service : inProgress) {
    set(GaugeName::TrialShare, service,
        dispatcher.trials().targetShare(service));
    for (const auto &[version, counts] :
         rollout::sumByVersion(evidence, service)) {
      const auto setCount = [&, version = version](const char *outcome,
                                                   std::uint64_t n) {
        Metrics.set(
            GaugeName::TrialEvidence,
            {.Service = service, .Version = version, .Outcome = outcome},
            static_cast<double>(n));
      };
      setCount("judged", counts.Judged);
      setCount("failed", counts.Failed);
      setCount("broken", counts.Broken);
    }
  }
}

} // namespace cowslipridge::gateway
