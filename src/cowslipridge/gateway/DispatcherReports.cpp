#include "cowslipridge/gateway/Dispatcher.hpp"

// The state that gateways exchange, and the decisions on roll-outs that rest on
// it.
namespace cowslipridge::gateway {

void Dispatcher::onPeerReport(const PeerReport &report, core::Millis now) {
  Eligibility.addRemotePins(report.PinnedSessions, now);
  Forecast.setRemoteLoads(report.Gateway, report.Loads, now);
  Evidence.onPeerReport(report.Gateway, report.Evidence, report.Rollouts, now);
  Trials.onPeerKnowledge(report.Rollouts, now);
  Crashes.onPeerReport(report.Crashes, now);
  for (const limits::ReportedRateLimit &it : report.RateLimits) {
    if (Servers.find(it.Statement.Runner) != nullptr)
      onStatement(it.Statement, now - it.Age, now);
  }
  Evacuated.onPeerReport(report.Evacuated, now);
  Cold.onPeerReport(
      report.Cold, [this](const core::RunnerId &it) { return coldStartOf(it); },
      now);
  for (const membership::ColdRunner &it : report.Cold.Runners) {
    if (const auto *server = Servers.find(it.Runner))
      limitByWarmth(*server, now);
  }
  for (const PromptPlacement &it : report.Prompts)
    Cache.recordBlock(it.Block, it.Runner);
}

void Dispatcher::removePeerLoad(const core::InstanceId &peer) {
  // Its evidence stays valid; its requests in flight no longer count.
  Forecast.removeRemoteLoads(peer);
}

PeerReport Dispatcher::report(core::Millis now) const {
  PeerReport report;
  report.Gateway = Settings.Instance;
  report.Loads = Forecast.ownLoads();
  report.PinnedSessions = Eligibility.pinnedSessions(now);
  report.Configuration = generation();
  report.Rollouts = Trials.knowledge(now);
  report.Prompts = NewPrompts;
  report.Crashes = Crashes.report(now);
  report.RateLimits = RateLimits.report(now);
  report.Cold = Cold.report(now);
  report.Cold.Settled = report.Cold.Settled && Catalogue != nullptr;
  report.Evacuated = Evacuated.commanded();
  report.Evidence = Evidence.report();
  return report;
}

std::vector<rollout::TrialDecision>
Dispatcher::dueDecisions(std::size_t rank, core::Millis now) const {
  std::vector<rollout::TrialDecision> decisions;
  const auto services = Trials.undecidedRollouts();
  if (services.empty())
    return decisions;
  rollout::TrialControl::Observation observation;
  observation.Rank = rank;
  for (const core::ServiceId &service : services) {
    const core::VersionId target =
        Trials.activeTarget(service).value_or(core::VersionId());
    observation.Evidence = Evidence.assessment(service);
    observation.StableInFlight = 0;
    observation.TargetHasRunner = false;
    observation.Registered.clear();
    for (const auto &[id, server] : Servers.all()) {
      if (server.Service != service)
        continue;
      observation.Registered.insert(server.Version);
      if (server.Version != target)
        observation.StableInFlight += Forecast.load(id).requests();
      else if (!server.Draining)
        observation.TargetHasRunner = true;
    }
    if (auto decision = Trials.next(service, observation, now))
      decisions.push_back(std::move(*decision));
  }
  return decisions;
}

} // namespace cowslipridge::gateway
