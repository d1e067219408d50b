#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/ControlPlane.hpp"
#include "cowslipridge/gateway/Dispatcher.hpp"
#include "cowslipridge/gateway/RetryAfterEstimator.hpp"
#include "cowslipridge/peers/PeerRelays.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::gateway {

/// Exchanges reports with the other gateways by UDP datagrams. Each report is
/// complete, so that the next one makes up for a lost one. Reports to other
/// failure domains go through relays if they are enabled.
class PeerExchange {
public:
  PeerExchange(boost::asio::io_context &loop, const core::Clock &clock,
               Dispatcher &dispatcher);

  /// Throws boost::system::system_error when the address can't be bound.
  void listen(const config::SocketAddress &address);
  /// Lets reports go through relays to peers that announce their failure domain
  /// and protocol version, as `self` does. Call before the first put().
  void enableRelays(const Peer &self, core::Incarnation incarnation);
  void put(const Peer &peer);
  /// Handles the end of a peer's registration. A peer that still reports is
  /// kept, because the registrations of all gateways may expire together while
  /// the store is unavailable.
  void remove(const core::InstanceId &name);
  /// Sets the callback for peers whose reports stop or resume.
  void setPresenceListener(
      std::function<void(const core::InstanceId &, bool isReporting)>
          listener) {
    PresenceListener = std::move(listener);
  }
  /// Sets the callback for reports of unregistered gateways; it receives the
  /// address of the sender.
  void setUnknownPeerListener(
      std::function<void(const boost::asio::ip::udp::endpoint &)> listener) {
    UnknownPeerListener = std::move(listener);
  }
  /// Sets the callback for the configuration that a peer reports; it receives
  /// the address of the peer.
  void setConfigurationListener(
      std::function<void(core::Generation,
                         const boost::asio::ip::udp::endpoint &)>
          listener) {
    ConfigurationListener = std::move(listener);
  }
  /// Sends a report to each peer. `exitsWithin` is set while this gateway
  /// drains: the time until its process exits.
  void sendReports(std::optional<core::Millis> exitsWithin);
  /// Passes on the reports of this failure domain, if this gateway is its
  /// relay.
  void relayReports();
  /// Returns the time until callers that this gateway rejects find one that
  /// serves.
  [[nodiscard]] core::Millis retryAfter(core::Millis ownExitsWithin) const {
    return RetryAfter.retryAfter(ownExitsWithin, Clock.monotonic());
  }
  /// Returns the number of peers whose reports are fresh.
  [[nodiscard]] std::size_t countReporting() const {
    return LastReportAt.size();
  }
  /// Returns whether this gateway relays the reports of its failure domain.
  [[nodiscard]] bool isRelay(core::Millis now) const {
    return Relays && Relays->isRelay(now);
  }
  /// Returns the number of datagrams that could not be decoded.
  [[nodiscard]] std::uint64_t countMalformed() const { return Malformed; }
  /// Discards the reports of peers that no longer send any.
  void expire(core::Millis now);
  [[nodiscard]] const std::map<core::InstanceId, Peer> &peers() const {
    return Peers;
  }

private:
  void receive();
  void onDatagram(std::string_view bytes);
  void onBundle(std::string_view bytes);
  void onReport(const PeerReport &report,
                const boost::asio::ip::udp::endpoint &address);
  /// A datagram that can't be sent now is treated as lost.
  void sendTo(const core::InstanceId &name, const std::string &bytes);
  void send(const std::vector<peers::Delivery> &deliveries);
  void drop(const core::InstanceId &name);
  /// Tells the dispatcher with which gateways it shares limits.
  void shareLimits();

  const core::Clock &Clock;
  Dispatcher &RequestDispatcher;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, 65'536> Buffer{};
  std::map<core::InstanceId, Peer> Peers;
  std::map<core::InstanceId, core::Millis> LastReportAt;
  RetryAfterEstimator RetryAfter;
  std::optional<peers::PeerRelays> Relays;
  std::uint64_t Malformed = 0;
  std::function<void(const boost::asio::ip::udp::endpoint &)>
      UnknownPeerListener;
  std::function<void(const core::InstanceId &, bool isReporting)>
      PresenceListener;
  std::function<void(core::Generation, const boost::asio::ip::udp::endpoint &)>
      ConfigurationListener;
  /// Peers whose registration ended but that still report.
  std::set<core::InstanceId> Unregistered;
};

} // namespace cowslipridge::gateway
