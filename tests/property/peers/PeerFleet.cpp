#include "PeerFleet.hpp"

#include "cowslipridge/peers/BundleCodec.hpp"

#include <algorithm>

namespace cowslipridge::peers::test {

namespace {

/// Datagrams that the socket of a paused process holds.
constexpr std::size_t MaxInbox = 200;
constexpr std::size_t NameWidth = 12;
constexpr std::size_t TimeWidth = 20;

std::string padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

} // namespace

PeerFleet::PeerFleet(std::size_t size, std::size_t domains,
                     std::size_t reportBytes, std::uint64_t seed)
    : ReportBytes(reportBytes), Random(seed), Nodes(size) {
  for (std::size_t n = 0; n < size; ++n) {
    Node &node = Nodes[n];
    node.Domain = n % domains;
    node.Self = {core::InstanceId("gateway-" + std::to_string(n)),
                 core::FailureDomainId("d" + std::to_string(node.Domain)),
                 ProtocolVersion};
    Numbers.emplace(node.Self.Name, n);
  }
  for (std::size_t n = 0; n < size; ++n)
    start(n);
}

void PeerFleet::useOldBuild(std::size_t gateway) {
  kill(gateway);
  start(gateway, true);
}

void PeerFleet::kill(std::size_t gateway) {
  Node &node = Nodes[gateway];
  node.IsRunning = node.IsPaused = false;
  node.Relays.reset();
  node.Views.clear();
  node.Accepted.clear();
  node.Inbox.clear();
}

void PeerFleet::leave(std::size_t gateway) {
  kill(gateway);
  Nodes[gateway].IsRegistered = false;
  for (Node &it : Nodes) {
    if (it.Relays)
      it.Relays->remove(Nodes[gateway].Self.Name);
    it.Views.erase(Nodes[gateway].Self.Name);
  }
}

void PeerFleet::start(std::size_t gateway, bool withOldBuild) {
  Node &node = Nodes[gateway];
  kill(gateway);
  node.IsRunning = node.IsRegistered = true;
  node.IsOld = withOldBuild;
  Member announced = node.Self;
  if (withOldBuild)
    announced = {node.Self.Name, core::FailureDomainId(), 0};
  else
    node.Relays = std::make_unique<PeerRelays>(
        node.Self, core::Incarnation(static_cast<std::uint64_t>(Now.count())));
  node.NextReport =
      Now + core::Millis(static_cast<std::int64_t>(core::uniformIndex(
                Random, static_cast<std::size_t>(ReportInterval.count()))));
  for (Node &it : Nodes) {
    if (it.Relays && &it != &node)
      it.Relays->put(announced);
    if (node.Relays && &it != &node && it.IsRegistered)
      node.Relays->put(it.IsOld ? Member{it.Self.Name, {}, 0} : it.Self);
  }
}

void PeerFleet::pause(std::size_t gateway) {
  Nodes[gateway].IsPaused = Nodes[gateway].IsRunning;
}

void PeerFleet::resume(std::size_t gateway) {
  Node &node = Nodes[gateway];
  node.IsPaused = false;
  const auto inbox = std::exchange(node.Inbox, {});
  for (const std::string &it : inbox)
    receive(gateway, it);
}

void PeerFleet::run(core::Millis time) {
  const core::Millis end = Now + time;
  while (Now < end)
    step();
}

void PeerFleet::step() {
  Now = Now + core::Millis(1);
  while (!Queue.empty() && Queue.top().At <= Now) {
    const Datagram datagram = Queue.top();
    Queue.pop();
    receive(datagram.To, datagram.Bytes);
  }
  for (std::size_t n = 0; n < Nodes.size(); ++n) {
    Node &node = Nodes[n];
    if (!isRunning(n))
      continue;
    if (node.Relays && Now.count() % RelayInterval.count() == 0)
      send(n, node.Relays->relayPending(Now));
    if (Now < node.NextReport)
      continue;
    node.NextReport = Now + ReportInterval;
    std::erase_if(node.Views, [&](const auto &it) {
      return Now - it.second.ArrivedAt > ReportLifetime;
    });
    if (node.Relays)
      node.Relays->expire(Now);
    report(n, false);
  }
}

core::Millis PeerFleet::reportAtOnce(std::size_t gateway) {
  report(gateway, true);
  return Now;
}

void PeerFleet::report(std::size_t gateway, bool isUrgent) {
  const Node &node = Nodes[gateway];
  const std::string text =
      padded(padded(node.Self.Name.str(), NameWidth) +
                 padded(std::to_string(Now.count()), TimeWidth),
             ReportBytes);
  if (!node.Relays) {
    for (std::size_t n = 0; n < Nodes.size(); ++n) {
      if (n != gateway && Nodes[n].IsRegistered)
        send(gateway, n, text);
    }
    return;
  }
  for (const core::InstanceId &it : node.Relays->plainRecipients())
    send(gateway, Numbers.at(it), text);
  send(gateway, node.Relays->onOwnReport(text, isUrgent, Now));
}

void PeerFleet::send(std::size_t from, std::size_t to,
                     const std::string &bytes) {
  const std::size_t a = Nodes[from].Domain;
  const std::size_t b = Nodes[to].Domain;
  if (a != b)
    CrossBytes += bytes.size() + HeaderBytes;
  if (core::uniform(Random) < Network.Loss ||
      Network.Partitions.contains(std::minmax(a, b)))
    return;
  const auto delay = static_cast<std::int64_t>(core::uniformIndex(
      Random, static_cast<std::size_t>(Network.MaxDelay.count())));
  Queue.push({Now + core::Millis(1 + delay), ++DatagramCount, to, bytes});
}

void PeerFleet::send(std::size_t from,
                     const std::vector<Delivery> &deliveries) {
  for (const Delivery &it : deliveries) {
    for (const std::string &bytes : encodeBundle(it.Content)) {
      for (const core::InstanceId &name : it.To)
        send(from, Numbers.at(name), bytes);
    }
  }
}

void PeerFleet::receive(std::size_t gateway, const std::string &bytes) {
  Node &node = Nodes[gateway];
  if (!node.IsRunning)
    return;
  if (node.IsPaused) {
    if (node.Inbox.size() < MaxInbox)
      node.Inbox.push_back(bytes);
    return;
  }
  if (!isBundle(bytes)) {
    std::string name = bytes.substr(0, NameWidth);
    name.erase(name.find(' '));
    if (Nodes[Numbers.at(core::InstanceId(name))].IsRegistered)
      view(node, core::InstanceId(name), bytes);
    return;
  }
  const auto bundle = decodeBundle(bytes);
  if (!node.Relays || !bundle)
    return;
  const Reception reception = node.Relays->onBundle(*bundle, Now);
  send(gateway, reception.Onward);
  for (const StampedReport &it : reception.Accepted) {
    const auto [known, isFirst] = node.Accepted.emplace(it.Origin, it.Stamp);
    if (!isFirst && it.Stamp <= known->second)
      ++Stale;
    known->second = std::max(known->second, it.Stamp);
    view(node, it.Origin, it.Report);
  }
}

void PeerFleet::view(Node &node, const core::InstanceId &origin,
                     const std::string &report) {
  const core::Millis sentAt(std::stoll(report.substr(NameWidth, TimeWidth)));
  node.Views.insert_or_assign(origin, View{sentAt, Now});
}

std::optional<core::Millis> PeerFleet::age(std::size_t viewer,
                                           std::size_t origin) const {
  const auto &views = Nodes[viewer].Views;
  const auto it = views.find(Nodes[origin].Self.Name);
  if (it == views.end())
    return std::nullopt;
  return Now - it->second.SentAt;
}

bool PeerFleet::isRelay(std::size_t gateway) const {
  const Node &node = Nodes[gateway];
  return isRunning(gateway) && node.Relays && node.Relays->isRelay(Now);
}

std::size_t PeerFleet::relayCount() const {
  std::size_t count = 0;
  for (std::size_t n = 0; n < Nodes.size(); ++n)
    count += isRelay(n) ? 1 : 0;
  return count;
}

} // namespace cowslipridge::peers::test
