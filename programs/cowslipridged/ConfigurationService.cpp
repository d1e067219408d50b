#include "ConfigurationService.hpp"

namespace cowslipridge::daemon {

namespace {

constexpr core::Millis TickInterval{200};

/// Bundles of peers that wait to be read; more are dropped.
constexpr std::size_t MaxOffers = 8;

constexpr double MillisPerSecond = 1'000;

config::FollowerSettings toFollowerSettings(const ProcessContext &process) {
  config::FollowerSettings settings;
  settings.TargetWatchers = process.Settings.ConfigWatchers;
  return settings;
}

} // namespace

ConfigurationService::ConfigurationService(ProcessContext &process)
    : Process(process), Stopped(std::make_shared<std::atomic<bool>>(false)) {
  config::FollowerHooks hooks;
  hooks.FetchFromPeer = [this](const core::InstanceId &peer, FetchDone done) {
    fetch(peer, std::move(done));
  };
  hooks.OnInForce = [this](std::shared_ptr<const config::Bundle> bundle) {
    Role->configure(std::move(bundle));
  };
  Source = std::make_unique<config::Follower>(
      toFollowerSettings(Process), Process.Settings.Instance, Process.Keys,
      Process.Time, Process.Events, std::move(hooks));
}

ConfigurationService::~ConfigurationService() = default;

rpc::ConfigurationPort ConfigurationService::port() {
  rpc::ConfigurationPort port;
  port.State = [this] {
    return rpc::ConfigurationState{Source->generation(), Source->age(),
                                   Source->stale()};
  };
  port.Bundle = [this] {
    return rpc::BundleContent{Source->generation(), Source->encodedBundle()};
  };
  port.OnPeer = [this](const rpc::PeerStatus &peer, core::Millis sentAfter) {
    Source->onPeerReport(
        peer.Instance, {peer.Configuration, peer.ConfigurationAge, sentAfter});
  };
  port.OnOffer = [this](const core::InstanceId &peer,
                        rpc::BundleContent content) {
    takeOffer(peer, std::move(content));
  };
  return port;
}

void ConfigurationService::setRole(std::shared_ptr<RoleService> role) {
  Role = std::move(role);
}

bool ConfigurationService::start() {
  tick();
  return true;
}

void ConfigurationService::stop() {
  *Stopped = true;
  Source->stop();
}

void ConfigurationService::tick() {
  Source->tick();
  reportGauges();
  Process.Loop.postAfter(TickInterval, [this, stopped = Stopped] {
    if (!*stopped)
      tick();
  });
}

void ConfigurationService::reportGauges() {
  using observe::GaugeName;
  Process.Counts.set(GaugeName::ConfigurationGeneration, {},
                     static_cast<double>(Source->generation().value()));
  Process.Counts.set(GaugeName::ConfigurationAgeSeconds, {},
                     static_cast<double>(Source->age().count()) /
                         MillisPerSecond);
}

// The follower asks for the bundle when the offer is newer than its own.
void ConfigurationService::takeOffer(const core::InstanceId &peer,
                                     rpc::BundleContent content) {
  {
    const std::lock_guard lock(Guard);
    if (Offers.size() >= MaxOffers)
      Offers.clear();
    Offers[peer] = std::move(content.Content);
  }
  Source->onPeerReport(
      peer, {content.Number, config::UnknownAge, Process.Time.monotonic()});
}

void ConfigurationService::fetch(const core::InstanceId &peer, FetchDone done) {
  std::string offered;
  {
    const std::lock_guard lock(Guard);
    const auto it = Offers.find(peer);
    if (it != Offers.end()) {
      offered = std::move(it->second);
      Offers.erase(it);
    }
  }
  if (!offered.empty())
    done(std::move(offered));
  else
    Role->fetchBundle(peer, std::move(done));
}

} // namespace cowslipridge::daemon
