#include "ConfigurationService.hpp"

namespace cowslipridge::daemon {

namespace {

constexpr core::Millis TickInterval{200};

/// Upper bound on bundles from peers that are queued for reading. When it is
/// reached, the queued ones are dropped.
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
  ConfigFollower = std::make_unique<config::Follower>(
      toFollowerSettings(Process), Process.Settings.Instance, Process.Store,
      Process.Time, Process.Events, std::move(hooks));
}

ConfigurationService::~ConfigurationService() = default;

rpc::ConfigurationPort ConfigurationService::port() {
  rpc::ConfigurationPort port;
  port.State = [this] {
    return rpc::ConfigurationState{ConfigFollower->generation(),
                                   ConfigFollower->age(),
                                   ConfigFollower->stale()};
  };
  port.Bundle = [this] {
    return rpc::BundleContent{ConfigFollower->generation(),
                              ConfigFollower->encodedBundle()};
  };
  port.OnPeer = [this](const rpc::PeerStatus &peer, core::Millis sentAfter) {
    ConfigFollower->onPeerReport(
        peer.Instance, {peer.Configuration, peer.ConfigurationAge, sentAfter});
  };
  port.OnOffer = [this](const core::InstanceId &peer,
                        rpc::BundleContent content) {
    acceptOffer(peer, std::move(content));
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
  ConfigFollower->stop();
}

void ConfigurationService::tick() {
  ConfigFollower->tick();
  reportGauges();
  Process.Loop.postAfter(TickInterval, [this, stopped = Stopped] {
    if (!*stopped)
      tick();
  });
}

void ConfigurationService::reportGauges() {
  using observe::GaugeName;
  Process.Metrics.set(
      GaugeName::ConfigurationGeneration, {},
      static_cast<double>(ConfigFollower->generation().value()));
  Process.Metrics.set(GaugeName::ConfigurationAgeSeconds, {},
                      static_cast<double>(ConfigFollower->age().count()) /
                          MillisPerSecond);
}

// The follower fetches the bundle through fetch() if the offer is newer than
// its own.
void ConfigurationService::acceptOffer(const core::InstanceId &peer,
                                       rpc::BundleContent content) {
  {
    const std::lock_guard lock(Mutex);
    if (Offers.size() >= MaxOffers)
      Offers.clear();
    Offers[peer] = std::move(content.Content);
  }
  ConfigFollower->onPeerReport(
      peer, {content.Number, config::UnknownAge, Process.Time.monotonic()});
}

void ConfigurationService::fetch(const core::InstanceId &peer, FetchDone done) {
  std::string offered;
  {
    const std::lock_guard lock(Mutex);
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
