#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/peers/Bundle.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslipridge::peers {

/// A gateway as it is registered.
struct Member {
  core::InstanceId Name;
  core::FailureDomainId Domain; ///< empty: not announced
  unsigned Protocol = 0;        ///< ProtocolVersion of its build
  [[nodiscard]] bool knowsBundles() const {
    return Protocol >= 1 && !Domain.empty();
  }
  friend auto operator<=>(const Member &, const Member &) = default;
};

/// A bundle and the gateways to which it goes.
struct Delivery {
  std::vector<core::InstanceId> To;
  Bundle Content;
};

/// What a gateway does about a bundle that it received.
struct Reception {
  std::vector<StampedReport> Accepted; ///< newer than what was known
  std::vector<Delivery> Onward;
};

/// Decides to whom a gateway sends its report and which reports of others it
/// passes on.
///
/// Gateways of one failure domain report to each other directly. One of them,
/// the relay, sends the reports of its domain to the relay of each other
/// domain, which forwards them there.
class PeerRelays {
public:
  /// Silence after which the next gateway in order acts as the relay, and after
  /// which reports go to another domain directly. Three intervals between
  /// reports: two lost datagrams are no failure.
  static constexpr core::Millis Silence{600};
  /// Time for which the last stamp of a silent gateway is remembered, so that
  /// datagrams that a paused gateway held back are not taken for new ones. A
  /// gateway that restarts with its wall clock set back is ignored for as long.
  static constexpr core::Millis StampLifetime{10'000};
  /// Number of reports after the start that go to all gateways directly, so
  /// that none waits for a relay to learn of this one.
  static constexpr std::uint64_t StartReports = 3;

  PeerRelays(Member self, core::Incarnation incarnation);

  void put(const Member &member);
  void remove(const core::InstanceId &name);

  /// Returns the gateways that get the report without a bundle.
  [[nodiscard]] std::vector<core::InstanceId> plainRecipients() const;
  /// Returns where this gateway's new report goes, with the reports that it
  /// relays. An urgent one is relayed at once.
  std::vector<Delivery> onOwnReport(std::string report, bool isUrgent,
                                    core::Millis now);
  /// Returns the reports of its domain that a relay has received since the last
  /// call. To be called between own reports, so that others do not wait for
  /// them.
  std::vector<Delivery> relayPending(core::Millis now);
  /// Handles a bundle of a member; ignores those of other senders, and reports
  /// of gateways that are no members.
  Reception onBundle(const Bundle &bundle, core::Millis now);
  /// Returns whether this gateway relays the reports of its domain.
  [[nodiscard]] bool isRelay(core::Millis now) const;
  /// Returns whether reports of `domain` arrive through relays.
  [[nodiscard]] bool isReached(const core::FailureDomainId &domain,
                               core::Millis now) const;
  void expire(core::Millis now);

private:
  /// What is known of the reports of one gateway.
  struct Record {
    ReportStamp Newest;
    core::Millis At;                      ///< when Newest arrived
    std::optional<ReportStamp> Forwarded; ///< newest one sent within the domain
  };
  /// The newest report of a gateway of this domain, to be relayed.
  struct Pending {
    StampedReport Report;
    core::Millis At;
  };

  /// Records the report if it is newer; returns whether it is.
  bool record(const StampedReport &report, core::Millis now);
  /// Returns whether the report is the newest one and was not forwarded yet.
  bool isToForward(const StampedReport &report);
  [[nodiscard]] std::vector<core::InstanceId>
  membersOf(const core::FailureDomainId &domain) const;
  [[nodiscard]] core::InstanceId relayOf(const core::FailureDomainId &domain,
                                         core::Millis now) const;
  [[nodiscard]] std::set<core::FailureDomainId> otherDomains() const;
  void relay(const std::vector<StampedReport> &reports, core::Millis now,
             std::vector<Delivery> &deliveries) const;
  std::vector<StampedReport> takePending(core::Millis now);
  void sendDirectly(const StampedReport &own, core::Millis now,
                    std::vector<Delivery> &deliveries) const;

  Member Self;
  ReportStamp Stamp;
  std::map<core::InstanceId, Member> Members;
  /// Members that know bundles, in order of their weight; the first one that is
  /// alive is the relay.
  std::map<core::FailureDomainId, std::vector<core::InstanceId>> Orders;
  std::map<core::InstanceId, core::Millis> HeardAt;
  std::map<core::InstanceId, core::Millis> AskedAt;
  std::map<core::FailureDomainId, core::Millis> RelayedAt;
  std::map<core::InstanceId, Record> Records;
  std::map<core::InstanceId, Pending> ToRelay;
};

} // namespace cowslipridge::peers
