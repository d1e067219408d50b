#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/peers/PeerRelays.hpp"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::peers::test {

/// What a simulated network does to datagrams.
struct Faults {
  double Loss = 0;
  core::Millis MaxDelay{3};
  /// Pairs of domains, by number, that do not reach each other.
  std::set<std::pair<std::size_t, std::size_t>> Partitions;
};

/// Gateways that exchange reports over a simulated network, in steps of a
/// millisecond. A gateway with an old build sends plain reports to all others.
class PeerFleet {
public:
  static constexpr core::Millis ReportInterval{200};
  /// Between two calls of relayPending().
  static constexpr core::Millis RelayInterval{100};
  static constexpr core::Millis ReportLifetime{1'500};
  /// UDP and IP headers.
  static constexpr std::size_t HeaderBytes = 28;

  PeerFleet(std::size_t size, std::size_t domains, std::size_t reportBytes,
            std::uint64_t seed);

  void useOldBuild(std::size_t gateway);
  void kill(std::size_t gateway);
  /// Kills the gateway and ends its registration.
  void leave(std::size_t gateway);
  void start(std::size_t gateway, bool withOldBuild = false);
  void pause(std::size_t gateway);
  void resume(std::size_t gateway);
  void run(core::Millis time);
  /// Sends the report of a gateway at once, and returns when it was sent.
  core::Millis reportAtOnce(std::size_t gateway);

  [[nodiscard]] core::Millis now() const { return Now; }
  [[nodiscard]] std::size_t size() const { return Nodes.size(); }
  [[nodiscard]] bool isRunning(std::size_t gateway) const {
    return Nodes[gateway].IsRunning && !Nodes[gateway].IsPaused;
  }
  /// Returns the age of the report of `origin` at `viewer`, or nothing.
  [[nodiscard]] std::optional<core::Millis> age(std::size_t viewer,
                                                std::size_t origin) const;
  [[nodiscard]] bool isRelay(std::size_t gateway) const;
  [[nodiscard]] std::size_t relayCount() const;
  /// Returns the number of stamped reports that were not newer than one that
  /// the same process had accepted before.
  [[nodiscard]] std::size_t staleCount() const { return Stale; }
  [[nodiscard]] std::size_t bytesBetweenDomains() const { return CrossBytes; }
  void resetBytes() { CrossBytes = 0; }

  Faults Network;

private:
  struct View {
    core::Millis SentAt;
    core::Millis ArrivedAt;
  };
  struct Node {
    Member Self;
    std::size_t Domain = 0;
    std::unique_ptr<PeerRelays> Relays; ///< null with an old build
    bool IsRegistered = true;
    bool IsOld = false;
    bool IsRunning = true;
    bool IsPaused = false;
    core::Millis NextReport;
    std::map<core::InstanceId, View> Views;
    std::map<core::InstanceId, ReportStamp> Accepted;
    std::vector<std::string> Inbox; ///< of a paused process
  };
  struct Datagram {
    core::Millis At;
    std::uint64_t Number = 0;
    std::size_t To = 0;
    std::string Bytes;
    bool operator>(const Datagram &other) const {
      return At != other.At ? At > other.At : Number > other.Number;
    }
  };

  void step();
  void report(std::size_t gateway, bool isUrgent);
  void send(std::size_t from, std::size_t to, const std::string &bytes);
  void send(std::size_t from, const std::vector<Delivery> &deliveries);
  void receive(std::size_t gateway, const std::string &bytes);
  void view(Node &node, const core::InstanceId &origin,
            const std::string &report);

  core::Millis Now{1'000'000};
  std::size_t ReportBytes;
  core::Random Random;
  std::vector<Node> Nodes;
  std::map<core::InstanceId, std::size_t> Numbers;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>> Queue;
  std::uint64_t DatagramCount = 0;
  std::size_t CrossBytes = 0;
  std::size_t Stale = 0;
};

} // namespace cowslipridge::peers::test
