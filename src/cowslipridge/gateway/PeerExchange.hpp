#pragma once

#include "cowslipridge/config/GatewaySettings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/gateway/ControlPlane.hpp"
#include "cowslipridge/gateway/Dispatcher.hpp"
#include "cowslipridge/gateway/RetryAfterEstimator.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace cowslipridge::gateway {

/// Sends this gateway's report to the others and takes theirs, by datagrams. A
/// lost one is made good by the next.
class PeerExchange {
public:
  PeerExchange(boost::asio::io_context &loop, const core::Clock &clock,
               Dispatcher &dispatcher);

  /// Throws boost::system::system_error when the address can't be bound.
  void listen(const config::SocketAddress &address);
  void put(const Peer &peer);
  /// Its registration ended. One that is still heard from stays: registrations
  /// of all gateways may lapse together while the store is away.
  void remove(const core::InstanceId &name);
  /// Hears of peers whose reports stop or come again.
  void onPresenceChange(
      std::function<void(const core::InstanceId &, bool isReporting)>
          listener) {
    OnPresenceChange = std::move(listener);
  }
  /// Hears of the addresses of gateways that report and are not known.
  void
  onUnknownPeer(std::function<void(const boost::asio::ip::udp::endpoint &)> f) {
    OnUnknownPeer = std::move(f);
  }
  /// `endsIn`: this gateway leaves.
  void sendReports(std::optional<core::Millis> endsIn);
  /// When callers that this gateway refuses find one that serves.
  [[nodiscard]] core::Millis retryAfter(core::Millis ownEndsIn) const {
    return Leaving.retryAfter(ownEndsIn, Clock.monotonic());
  }
  /// Peers whose reports are fresh.
  [[nodiscard]] std::size_t heard() const { return LastReportAt.size(); }
  /// Forgets what peers said that have fallen silent.
  void expire(core::Millis now);
  [[nodiscard]] const std::map<core::InstanceId, Peer> &peers() const {
    return Peers;
  }

private:
  void receive();
  void onDatagram(std::string_view bytes);
  void drop(const core::InstanceId &name);

  const core::Clock &Clock;
  Dispatcher &Decisions;
  boost::asio::ip::udp::socket Socket;
  boost::asio::ip::udp::endpoint Sender;
  std::array<char, 65'536> Buffer{};
  std::map<core::InstanceId, Peer> Peers;
  std::map<core::InstanceId, core::Millis> LastReportAt;
  RetryAfterEstimator Leaving;
  std::function<void(const boost::asio::ip::udp::endpoint &)> OnUnknownPeer;
  std::function<void(const core::InstanceId &, bool isReporting)>
      OnPresenceChange;
  std::set<core::InstanceId> Lapsed; ///< without a registration, but heard from
};

} // namespace cowslipridge::gateway
