#include "cowslipridge/gateway/PeerExchange.hpp"

#include "cowslipridge/gateway/PeerReportCodec.hpp"
#include "cowslipridge/peers/BundleCodec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace cowslipridge::gateway {

namespace {

using Udp = boost::asio::ip::udp;

std::optional<Udp::endpoint> endpointOf(const Peer &peer) {
  boost::system::error_code ec;
  const auto host = boost::asio::ip::make_address(peer.Host, ec);
  if (ec)
    return std::nullopt;
  return Udp::endpoint(host, peer.Port);
}

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context &loop,
                           const core::Clock &clock, Dispatcher &dispatcher)
    : Clock(clock), RequestDispatcher(dispatcher), Socket(loop) {}

void PeerExchange::listen(const config::SocketAddress &address) {
  const Udp::endpoint endpoint(boost::asio::ip::make_address(address.Host),
                               address.Port);
  Socket.open(endpoint.protocol());
  Socket.bind(endpoint);
  Socket.non_blocking(true);
  receive();
}

void PeerExchange::enableRelays(const Peer &self,
                                core::Incarnation incarnation) {
  Relays.emplace(peers::Member{self.Name, self.Domain, self.Protocol},
                 incarnation);
}

void PeerExchange::put(const Peer &peer) {
  Unregistered.erase(peer.Name);
  Peers.insert_or_assign(peer.Name, peer);
  if (Relays)
    Relays->put({peer.Name, peer.Domain, peer.Protocol});
  shareLimits();
}

void PeerExchange::remove(const core::InstanceId &name) {
  if (LastReportAt.contains(name))
    Unregistered.insert(name);
  else
    drop(name);
}

void PeerExchange::drop(const core::InstanceId &name) {
  Unregistered.erase(name);
  Peers.erase(name);
  if (Relays)
    Relays->remove(name);
  RequestDispatcher.removePeerLoad(name);
  shareLimits();
}

void PeerExchange::shareLimits() {
  std::set<core::InstanceId> names;
  for (const auto &[name, peer] : Peers)
    names.insert(name);
  RequestDispatcher.setPeers(names);
}

void PeerExchange::sendReports(std::optional<core::Millis> exitsWithin) {
  if (Peers.empty())
    return;
  PeerReport report = RequestDispatcher.report(Clock.monotonic());
  report.ExitsWithin = exitsWithin;
  std::string bytes = encodePeerReport(report);
  if (Relays) {
    for (const core::InstanceId &it : Relays->plainRecipients())
      sendTo(it, bytes);
    send(Relays->onOwnReport(std::move(bytes),
                             RequestDispatcher.hasUrgentReport(),
                             Clock.monotonic()));
  } else {
    for (const auto &[name, peer] : Peers)
      sendTo(name, bytes);
  }
  RequestDispatcher.onReportSent();
}

void PeerExchange::relayReports() {
  if (Relays)
    send(Relays->relayPending(Clock.monotonic()));
}

void PeerExchange::sendTo(const core::InstanceId &name,
                          const std::string &bytes) {
  const auto peer = Peers.find(name);
  if (peer == Peers.end())
    return;
  boost::system::error_code ignored;
  if (const auto endpoint = endpointOf(peer->second))
    Socket.send_to(boost::asio::buffer(bytes), *endpoint, 0, ignored);
}

void PeerExchange::send(const std::vector<peers::Delivery> &deliveries) {
  for (const peers::Delivery &it : deliveries) {
    for (const std::string &bytes : peers::encodeBundle(it.Content)) {
      for (const core::InstanceId &name : it.To)
        sendTo(name, bytes);
    }
  }
}

void PeerExchange::receive() {
  Socket.async_receive_from(boost::asio::buffer(Buffer), Sender,
                            [this](const auto &ec, auto n) {
                              if (ec == boost::asio::error::operation_aborted)
                                return;
                              if (!ec)
                                onDatagram({Buffer.data(), n});
                              receive();
                            });
}

void PeerExchange::onDatagram(std::string_view bytes) {
  if (peers::isBundle(bytes)) {
    onBundle(bytes);
    return;
  }
  const auto report = decodePeerReport(bytes);
  if (!report)
    ++Malformed;
  else if (Peers.contains(report->Gateway))
    onReport(*report, Sender);
  else if (UnknownPeerListener)
    UnknownPeerListener(Sender);
}

void PeerExchange::onBundle(std::string_view bytes) {
  const auto bundle = peers::decodeBundle(bytes);
  if (!bundle) {
    ++Malformed;
    return;
  }
  if (!Peers.contains(bundle->Sender)) {
    if (UnknownPeerListener)
      UnknownPeerListener(Sender);
    return;
  }
  if (!Relays)
    return;
  const peers::Reception reception =
      Relays->onBundle(*bundle, Clock.monotonic());
  send(reception.Onward);
  for (const peers::StampedReport &it : reception.Accepted) {
    const auto report = decodePeerReport(it.Report);
    if (!report || report->Gateway != it.Origin) {
      ++Malformed;
      continue;
    }
    // The configuration is fetched from the gateway that has it, not from the
    // relay.
    const auto origin = Peers.find(it.Origin);
    const auto address =
        origin == Peers.end() ? std::nullopt : endpointOf(origin->second);
    if (address)
      onReport(*report, *address);
  }
}

void PeerExchange::onReport(const PeerReport &report,
                            const Udp::endpoint &address) {
  const core::Millis now = Clock.monotonic();
  const bool isNew = LastReportAt.insert_or_assign(report.Gateway, now).second;
  if (isNew && PresenceListener)
    PresenceListener(report.Gateway, true);
  RequestDispatcher.onPeerReport(report, now);
  RetryAfter.recordReport(report.Gateway, report.ExitsWithin, now);
  if (ConfigurationListener)
    ConfigurationListener(report.Configuration, address);
}

void PeerExchange::expire(core::Millis now) {
  if (Relays)
    Relays->expire(now);
  for (auto it = LastReportAt.begin(); it != LastReportAt.end();) {
    if (now - it->second <= RetryAfterEstimator::ReportLifetime) {
      ++it;
      continue;
    }
    const core::InstanceId name = it->first;
    it = LastReportAt.erase(it);
    RequestDispatcher.removePeerLoad(name);
    if (PresenceListener)
      PresenceListener(name, false);
    if (Unregistered.contains(name))
      drop(name);
  }
}

} // namespace cowslipridge::gateway
