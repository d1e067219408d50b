#include "cowslipridge/gateway/PeerExchange.hpp"

#include "cowslipridge/gateway/PeerReportCodec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace cowslipridge::gateway {

namespace {

using Udp = boost::asio::ip::udp;

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context &loop,
                           const core::Clock &clock, Dispatcher &dispatcher)
    : Clock(clock), Decisions(dispatcher), Socket(loop) {}

void PeerExchange::listen(const config::SocketAddress &address) {
  const Udp::endpoint endpoint(boost::asio::ip::make_address(address.Host),
                               address.Port);
  Socket.open(endpoint.protocol());
  Socket.bind(endpoint);
  Socket.non_blocking(true);
  receive();
}

void PeerExchange::put(const Peer &peer) {
  Lapsed.erase(peer.Name);
  Peers.insert_or_assign(peer.Name, peer);
  Decisions.setPeerCount(Peers.size());
}

void PeerExchange::remove(const core::InstanceId &name) {
  if (HeardAt.contains(name))
    Lapsed.insert(name);
  else
    drop(name);
}

void PeerExchange::drop(const core::InstanceId &name) {
  Lapsed.erase(name);
  Peers.erase(name);
  Decisions.removePeerLoad(name);
  Decisions.setPeerCount(Peers.size());
}

void PeerExchange::sendReports(std::optional<core::Millis> endsIn) {
  if (Peers.empty())
    return;
  PeerReport report = Decisions.report(Clock.monotonic());
  report.ExitsWithin = endsIn;
  const std::string bytes = encodePeerReport(report);
  for (const auto &[name, peer] : Peers) {
    // A datagram that can't be sent now is as good as lost.
    boost::system::error_code ignored;
    const auto host = boost::asio::ip::make_address(peer.Host, ignored);
    if (!ignored)
      Socket.send_to(boost::asio::buffer(bytes), Udp::endpoint(host, peer.Port),
                     0, ignored);
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
  const auto report = decodePeerReport(bytes);
  if (!report)
    return;
  if (!Peers.contains(report->Gateway)) {
    if (Stranger)
      Stranger(Sender);
    return;
  }
  const core::Millis now = Clock.monotonic();
  const bool isNew = HeardAt.insert_or_assign(report->Gateway, now).second;
  if (isNew && HearsPresence)
    HearsPresence(report->Gateway, true);
  Decisions.onPeerReport(*report, now);
  Leaving.note(report->Gateway, report->ExitsWithin, now);
}

void PeerExchange::expire(core::Millis now) {
  for (auto it = HeardAt.begin(); it != HeardAt.end();) {
    if (now - it->second <= Departures::ReportLife) {
      ++it;
      continue;
    }
    const core::InstanceId name = it->first;
    it = HeardAt.erase(it);
    Decisions.removePeerLoad(name);
    if (HearsPresence)
      HearsPresence(name, false);
    if (Lapsed.contains(name))
      drop(name);
  }
}

} // namespace cowslipridge::gateway
