#include "cowslipridge/gateway/EventDetails.hpp"
#include "cowslipridge/gateway/Gateway.hpp"

#include <string>
#include <utility>

// The events of the control plane.
namespace cowslipridge::gateway {

using observe::EventNumber;

void Gateway::onControl(const ControlEvent &event) {
  std::visit([this](const auto &it) { on(it); }, event);
}

void Gateway::on(const CatalogueChanged &event) {
  const catalogue::Catalogue &declared = event.Catalogue->catalogue();
  if (RequestDispatcher.catalogue() &&
      declared.Version < RequestDispatcher.catalogue()->catalogue().Version) {
    report(EventNumber::ConfigurationRefused,
           "older than the generation in force: " +
               std::to_string(declared.Version.value()));
    return;
  }
  const catalogue::CataloguePtr before = RequestDispatcher.catalogue();
  RequestDispatcher.setCatalogue(event.Catalogue);
  Log.setGeneration(declared.Version);
  Callers.setLimits(callerLimits(declared.Limits));
  report(EventNumber::ConfigurationInForce,
         describe(declared, before ? &before->catalogue() : nullptr));
}

void Gateway::on(const CatalogueRefused &event) {
  report(EventNumber::ConfigurationRefused, event.Problem);
}

void Gateway::on(const EntryRefused &event) {
  report(EventNumber::EntryRefused, "key=" + event.Key);
}

void Gateway::on(const ServerChanged &event) { registerServer(event.Server); }

void Gateway::registerServer(const membership::BackendServer &server) {
  onServerEntry(server);
  RequestDispatcher.servers().put(server);
}

void Gateway::onServerEntry(const membership::BackendServer &server) {
  const membership::BackendServer *known =
      RequestDispatcher.servers().find(server.Id);
  // The runner has restarted under its id without its earlier state.
  if (known != nullptr && known->StartedAt != server.StartedAt)
    RequestDispatcher.removeServer(server.Id);
  RequestDispatcher.onServerEntry(server, Clock.monotonic());
  report(server.Draining ? EventNumber::RunnerDraining
                         : EventNumber::RunnerRegistered,
         describe(server));
}

void Gateway::on(const ServerRemoved &event) {
  if (RequestDispatcher.servers().remove(event.Server, Clock.monotonic()))
    removeServer(event.Server);
}

void Gateway::on(const ServersListed &event) {
  const core::Millis now = Clock.monotonic();
  membership::ServerRegistry &servers = RequestDispatcher.servers();
  const auto listed = servers.reconcile(event.Servers, event.AfterRestore, now);
  for (const membership::BackendServer &it : listed)
    onServerEntry(it);
  for (const core::RunnerId &it : servers.replaceAll(listed, now))
    removeServer(it);
}

void Gateway::removeServer(const core::RunnerId &runner) {
  RequestDispatcher.removeServer(runner);
  report(EventNumber::RunnerRemoved, "runner=" + runner.str());
}

void Gateway::on(const EvacuationChanged &event) {
  RequestDispatcher.evacuations().onCommand(event.Domain);
  updateEvacuations(Clock.monotonic());
  report(EventNumber::EvacuationOrdered, "domain=" + event.Domain.str());
}

void Gateway::on(const EvacuationWithdrawn &event) {
  const core::Millis now = Clock.monotonic();
  RequestDispatcher.evacuations().onWithdrawn(event.Domain, now);
  updateEvacuations(now);
}

void Gateway::on(const EvacuationsListed &event) {
  const core::Millis now = Clock.monotonic();
  RequestDispatcher.evacuations().onListed(event.Domains, event.AfterRestore,
                                           now);
  updateEvacuations(now);
  for (const core::FailureDomainId &it : event.Domains)
    report(EventNumber::EvacuationOrdered, "listed, domain=" + it.str());
}

void Gateway::on(const RolloutCommandChanged &event) {
  RequestDispatcher.trials().onCommand(event.Command, Clock.monotonic());
  report(EventNumber::RolloutAdvanced, "ordered " + describe(event.Command));
}

void Gateway::on(const RolloutWithdrawn &event) {
  RequestDispatcher.trials().onWithdrawn(event.Service);
}

void Gateway::on(const RolloutStatusChanged &event) {
  RequestDispatcher.trials().onStatus(event.Status, Clock.monotonic());
  reportStatus(event.Status);
}

void Gateway::reportStatus(const rollout::RolloutStatus &status) {
  const bool ended = status.Phase != rollout::RolloutPhase::InProgress;
  report(ended ? EventNumber::RolloutEnded : EventNumber::RolloutAdvanced,
         describe(status));
}

void Gateway::on(const RolloutProgressChanged &event) {
  RequestDispatcher.trials().onProgress(event.Progress, Clock.monotonic());
  report(EventNumber::RolloutAdvanced, describe(event.Progress));
}

void Gateway::on(const RolloutsListed &event) {
  RequestDispatcher.trials().onListed(event.Rollouts, Clock.monotonic());
  for (const rollout::RolloutCommand &it : event.Rollouts.Commands)
    report(EventNumber::RolloutAdvanced, "ordered " + describe(it));
  for (const rollout::RolloutStatus &it : event.Rollouts.Statuses)
    reportStatus(it);
}

void Gateway::on(const PeerChanged &event) {
  Peers.put(event.Gateway);
  report(EventNumber::PeerRegistered, "peer=" + event.Gateway.Name.str());
}

void Gateway::on(const PeerRemoved &event) {
  Peers.remove(event.Name);
  report(EventNumber::PeerRemoved, "peer=" + event.Name.str());
}

void Gateway::on(const RegistrationChanged &event) {
  RequestDispatcher.setRegistration(event.Current);
  const bool isRegistered = event.Current.Until > Clock.monotonic();
  if (std::exchange(IsRegistered, isRegistered) == isRegistered)
    return;
  report(isRegistered ? EventNumber::RegistrationConfirmed
                      : EventNumber::RegistrationLost,
         {});
}

void Gateway::on(const QuarantineReported &event) {
  RequestDispatcher.crashes().adopt(event.Quarantined, Clock.monotonic());
}

void Gateway::on(const ControlPlaneUnavailable &event) {
  RequestDispatcher.servers().onStoreUnavailable();
  RequestDispatcher.evacuations().onStoreUnavailable();
  StoreUnavailableSince = Clock.monotonic();
  report(EventNumber::StoreUnavailable, event.Reason);
}

void Gateway::on(const ControlPlaneAvailable & /*event*/) {
  RequestDispatcher.servers().onStoreAvailable(Clock.monotonic());
  RequestDispatcher.evacuations().onStoreAvailable();
  StoreUnavailableSince.reset();
  report(EventNumber::StoreAvailable, "");
}

void Gateway::on(const ControlPlaneRestored & /*event*/) {
  RequestDispatcher.servers().onStoreAvailable(Clock.monotonic());
  Metrics.add(observe::CounterName::StoreRestores, {});
  report(EventNumber::StoreRestored,
         "generation=" +
             std::to_string(RequestDispatcher.generation().value()));
}

} // namespace cowslipridge::gateway
