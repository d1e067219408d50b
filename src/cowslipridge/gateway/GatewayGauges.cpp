#include "cowslipridge/gateway/GatewayGauges.hpp"

namespace cowslipridge::gateway {

namespace {

using observe::GaugeName;

constexpr double MillisPerSecond = 1'000;

} // namespace

void GatewayGauges::update(const GaugeSources &sources) {
  updateFleet(sources);
  updateServices(sources);
  updateTrials(sources.Decisions);
}

void GatewayGauges::set(GaugeName name, double value) {
  Counts.set(name, {}, value);
}

void GatewayGauges::set(GaugeName name, const core::ServiceId &service,
                        double value) {
  Counts.set(name, {.Service = service, .Version = {}, .Outcome = {}}, value);
}

void GatewayGauges::updateFleet(const GaugeSources &sources) {
  Dispatcher &decisions = sources.Decisions;
  set(GaugeName::InFlight, static_cast<double>(sources.InFlight));
  set(GaugeName::Connections, static_cast<double>(sources.Connections));
  set(GaugeName::PeersHeard, static_cast<double>(sources.PeersHeard));
  set(GaugeName::MembersUsable,
      static_cast<double>(decisions.servers().all().size()));
  set(GaugeName::RunnersEjected,
      static_cast<double>(decisions.ejected(sources.Now)));
  if (decisions.catalogue())
    set(GaugeName::ConfigurationGeneration,
        static_cast<double>(
            decisions.catalogue()->catalogue().Version.value()));
  // One watch brings the configuration and the runners: they are of one age.
  const core::Millis age = sources.StoreUnavailableSince
                               ? sources.Now - *sources.StoreUnavailableSince
                               : core::Millis();
  set(GaugeName::ConfigurationAgeSeconds,
      static_cast<double>(age.count()) / MillisPerSecond);
}

void GatewayGauges::updateServices(const GaugeSources &sources) {
  for (const auto &[service, count] : sources.Decisions.waiting())
    set(GaugeName::Queued, service, count);
  for (const auto &[service, left] : sources.Decisions.retriesLeft(sources.Now))
    set(GaugeName::RetryBudgetLeft, service, left);
}

void GatewayGauges::updateTrials(const Dispatcher &decisions) {
  const auto underWay = decisions.trials().underWay();
  for (const core::ServiceId &it : Trials)
    set(GaugeName::TrialShare, it, 0);
  Trials = {underWay.begin(), underWay.end()};
  const rollout::EvidenceTable evidence = decisions.pooledEvidence();
  for (const core::ServiceId &service : underWay) {
    set(GaugeName::TrialShare, service,
        decisions.trials().targetShare(service));
    for (const auto &[version, counts] :
         rollout::sumByVersion(evidence, service)) {
      const auto setCount = [&, version = version](const char *outcome,
                                                   std::uint64_t n) {
        Counts.set(GaugeName::TrialEvidence,
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
