#include "cowslipridge/entry/Fleet.hpp"

#include "cowslipridge/core/Visit.hpp"

namespace cowslipridge::entry {

core::RunnerId toRunner(const core::InstanceId &name) {
  return core::RunnerId(name.str());
}

core::InstanceId toInstance(const core::RunnerId &runner) {
  return core::InstanceId(runner.str());
}

Fleet::Fleet(rpc::EventLoop &loop, const core::Clock &time,
             observe::EventLog &events, FleetSettings settings)
    : Loop(loop), Time(time), Events(events), Settings(std::move(settings)),
      Members(membership::DirectorySettings{}) {}

Fleet::~Fleet() = default;

void Fleet::setOwnStatus(OwnStatusSource ownStatus) {
  OwnStatus = std::move(ownStatus);
}

rpc::PeerStatus Fleet::ownStatusFor(const core::InstanceId &peer) const {
  return OwnStatus ? OwnStatus(peer) : rpc::PeerStatus();
}

void Fleet::setStatusListener(StatusListener listener) {
  Listener = std::move(listener);
}

void Fleet::setSuspectListener(
    std::function<void(const core::InstanceId &)> listener) {
  SuspectListener = std::move(listener);
}

void Fleet::startTicking() { tick(); }

void Fleet::close() {
  Closed = true;
  OwnStatus = nullptr;
  Listener = nullptr;
  SuspectListener = nullptr;
  Peers.clear();
}

void Fleet::tick() {
  if (Closed)
    return;
  apply(Members.tick(Time.monotonic()));
  Loop.postAfter(Settings.TickInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->tick();
  });
}

void Fleet::applyInstanceList(
    const std::vector<backing::InstanceRecord> &records) {
  if (Closed)
    return;
  std::vector<backing::InstanceRecord> sidecars;
  for (const backing::InstanceRecord &it : records) {
    if (it.Kind == backing::Role::Sidecar)
      sidecars.push_back(it);
  }
  apply(Members.onList(sidecars, Time.monotonic()));
}

void Fleet::apply(const membership::DirectoryActions &actions) {
  for (const membership::DirectoryAction &action : actions) {
    std::visit(
        core::Overloaded{
            [&](const membership::ConnectMember &it) { connect(it.Record); },
            [&](const membership::DropMember &it) { Peers.erase(it.Name); },
            [&](const membership::ProbeMember &it) { probe(it.Name); }},
        action);
  }
}

void Fleet::connect(const backing::InstanceRecord &record) {
  rpc::PeerClientSettings settings;
  settings.Self = Settings.Self;
  settings.Peer = record.Name;
  settings.Address = record.Address;
  settings.Port = record.RpcPort;
  settings.FleetKey = Settings.FleetKey;
  Peer &peer = Peers[record.Name];
  peer.Client =
      std::make_unique<rpc::PeerClient>(Loop, std::move(settings), Events);
  peer.Client->onChange(
      [weak = weak_from_this(), name = record.Name](bool connected) {
        const auto self = weak.lock();
        if (!self)
          return;
        if (connected)
          self->probe(name);
        else
          self->onFailure(name);
      });
}

void Fleet::probe(const core::InstanceId &name) {
  const auto it = Peers.find(name);
  if (it == Peers.end() || !OwnStatus)
    return;
  const core::Millis sentAt = Time.monotonic();
  it->second.Client->exchange(OwnStatus(name), Settings.ProbeTimeout,
                              [weak = weak_from_this(), name, sentAt](
                                  const core::Result<rpc::PeerStatus> &reply) {
                                const auto self = weak.lock();
                                if (self && reply.ok())
                                  self->onStatusReceived(name, *reply, sentAt);
                                else if (self)
                                  self->onFailure(name);
                              });
}

void Fleet::onStatusReceived(const core::InstanceId &name,
                             const rpc::PeerStatus &status,
                             core::Millis sentAfter) {
  const core::Millis now = Time.monotonic();
  Members.onReply(name, status.Start, status.Leaving, now);
  const auto it = Peers.find(name);
  if (it != Peers.end()) {
    it->second.LastStatus = status;
    it->second.ReportReceivedAt = now;
    it->second.SentSinceReport = 0;
  }
  if (Listener)
    Listener(status, sentAfter);
}

void Fleet::onFailure(const core::InstanceId &name) {
  Members.onFailure(name, Time.monotonic());
  const membership::Member *member = Members.find(name);
  const bool suspect = member == nullptr ||
                       member->State == membership::Liveness::SuspectedFailed;
  if (suspect && SuspectListener)
    SuspectListener(name);
}

std::vector<route::RunnerView>
Fleet::views(const core::ServiceId &service) const {
  std::vector<route::RunnerView> found;
  for (const membership::Member &it : Members.usable(service)) {
    const auto peer = Peers.find(it.Record.Name);
    if (peer == Peers.end() || !peer->second.Client->connected())
      continue;
    const rpc::PeerStatus &last = peer->second.LastStatus;
    route::RunnerView view;
    view.Runner = toRunner(it.Record.Name);
    view.Domain = it.Record.Domain;
    view.Versions = it.Record.Versions;
    view.InFlight = last.InFlight;
    view.SentSinceReport = peer->second.SentSinceReport;
    view.Queued = last.Queued;
    view.ConcurrencyLimit = std::max(1U, last.ConcurrencyLimit);
    view.PredictedWait = last.PredictedWait;
    view.ReportReceivedAt = peer->second.ReportReceivedAt;
    view.SuspectedFailed = it.State == membership::Liveness::SuspectedFailed;
    found.push_back(std::move(view));
  }
  return found;
}

rpc::PeerClient *Fleet::client(const core::InstanceId &name) {
  const auto it = Peers.find(name);
  return it == Peers.end() ? nullptr : it->second.Client.get();
}

void Fleet::onSent(const core::InstanceId &name) {
  const auto it = Peers.find(name);
  if (it != Peers.end())
    ++it->second.SentSinceReport;
}

void Fleet::onEnded(const core::InstanceId &name, const rpc::RunResult &result,
                    core::Millis sentAt) {
  // Only a result that was sent by the sidecar itself carries its name.
  if (!result.Callee.Instance.empty())
    onStatusReceived(name, result.Callee, sentAt);
  else
    onFailure(name);
}

} // namespace cowslipridge::entry
