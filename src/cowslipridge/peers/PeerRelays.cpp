#include "cowslipridge/peers/PeerRelays.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cowslipridge::peers {

namespace {

std::uint64_t weightOf(const core::InstanceId &name,
                       const core::FailureDomainId &domain) {
  return XXH64(name.str().data(), name.str().size(),
               XXH64(domain.str().data(), domain.str().size(), 0));
}

template <typename Key>
bool isFresh(const std::map<Key, core::Millis> &times, const Key &key,
             core::Millis now) {
  const auto it = times.find(key);
  return it != times.end() && now - it->second < PeerRelays::Silence;
}

} // namespace

PeerRelays::PeerRelays(Member self, core::Incarnation incarnation)
    : Self(std::move(self)), Stamp{incarnation, 0} {
  if (Self.knowsBundles())
    Orders[Self.Domain].push_back(Self.Name);
}

void PeerRelays::put(const Member &member) {
  if (member.Name == Self.Name)
    return;
  if (const auto it = Members.find(member.Name); it != Members.end()) {
    if (it->second == member)
      return;
    remove(member.Name);
  }
  Members.emplace(member.Name, member);
  if (!member.knowsBundles())
    return;
  auto &order = Orders[member.Domain];
  order.push_back(member.Name);
  std::sort(order.begin(), order.end(), [&](const auto &a, const auto &b) {
    const auto left = weightOf(a, member.Domain);
    const auto right = weightOf(b, member.Domain);
    return left != right ? left > right : a < b;
  });
}

void PeerRelays::remove(const core::InstanceId &name) {
  const auto it = Members.find(name);
  if (it == Members.end())
    return;
  if (it->second.knowsBundles()) {
    auto &order = Orders[it->second.Domain];
    std::erase(order, name);
    if (order.empty())
      Orders.erase(it->second.Domain);
  }
  HeardAt.erase(name);
  AskedAt.erase(name);
  ToRelay.erase(name);
  Members.erase(it);
}

std::vector<core::InstanceId> PeerRelays::plainRecipients() const {
  std::vector<core::InstanceId> names;
  for (const auto &[name, member] : Members) {
    if (!member.knowsBundles() || !Self.knowsBundles())
      names.push_back(name);
  }
  return names;
}

std::vector<core::InstanceId>
PeerRelays::membersOf(const core::FailureDomainId &domain) const {
  const auto it = Orders.find(domain);
  if (it == Orders.end())
    return {};
  std::vector<core::InstanceId> names = it->second;
  std::erase(names, Self.Name);
  return names;
}

std::set<core::FailureDomainId> PeerRelays::otherDomains() const {
  std::set<core::FailureDomainId> domains;
  for (const auto &[domain, order] : Orders) {
    if (domain != Self.Domain)
      domains.insert(domain);
  }
  return domains;
}

bool PeerRelays::isRelay(core::Millis now) const {
  return Self.knowsBundles() && relayOf(Self.Domain, now) == Self.Name;
}

bool PeerRelays::isReached(const core::FailureDomainId &domain,
                           core::Millis now) const {
  return isFresh(RelayedAt, domain, now);
}

// In the own domain, a gateway is alive if it sends datagrams here; in another
// one, if its reports arrive in any way.
core::InstanceId PeerRelays::relayOf(const core::FailureDomainId &domain,
                                     core::Millis now) const {
  const auto &order = Orders.at(domain);
  const auto isAlive = [&](const core::InstanceId &name) {
    if (domain == Self.Domain)
      return name == Self.Name || isFresh(HeardAt, name, now);
    const auto it = Records.find(name);
    return it != Records.end() && now - it->second.At < Silence;
  };
  const auto it = std::find_if(order.begin(), order.end(), isAlive);
  return it == order.end() ? order.front() : *it;
}

void PeerRelays::relay(const std::vector<StampedReport> &reports,
                       core::Millis now,
                       std::vector<Delivery> &deliveries) const {
  if (reports.empty())
    return;
  std::vector<core::InstanceId> relays;
  for (const core::FailureDomainId &it : otherDomains())
    relays.push_back(relayOf(it, now));
  if (!relays.empty())
    deliveries.push_back(
        {relays, {Self.Name, BundleKind::Relayed, false, false, reports}});
}

// What waited longer than the silence after which others act as the relay is
// out of date: this process was paused.
std::vector<StampedReport> PeerRelays::takePending(core::Millis now) {
  std::vector<StampedReport> reports;
  for (auto &[name, pending] : std::exchange(ToRelay, {})) {
    if (now - pending.At < Silence)
      reports.push_back(std::move(pending.Report));
  }
  return reports;
}

void PeerRelays::sendDirectly(const StampedReport &own, core::Millis now,
                              std::vector<Delivery> &deliveries) const {
  std::vector<core::InstanceId> unreached;
  std::vector<core::InstanceId> asking;
  for (const core::FailureDomainId &domain : otherDomains()) {
    const auto members = membersOf(domain);
    if (!isReached(domain, now) || own.Stamp.Sequence <= StartReports)
      unreached.insert(unreached.end(), members.begin(), members.end());
    else
      std::copy_if(members.begin(), members.end(), std::back_inserter(asking),
                   [&](const auto &it) { return isFresh(AskedAt, it, now); });
  }
  if (!unreached.empty())
    deliveries.push_back(
        {unreached, {Self.Name, BundleKind::Direct, false, true, {own}}});
  if (!asking.empty())
    deliveries.push_back(
        {asking, {Self.Name, BundleKind::Direct, false, false, {own}}});
}

std::vector<Delivery> PeerRelays::onOwnReport(std::string report, bool isUrgent,
                                              core::Millis now) {
  std::vector<Delivery> deliveries;
  if (!Self.knowsBundles())
    return deliveries;
  ++Stamp.Sequence;
  const StampedReport own{Self.Name, Stamp, std::move(report)};
  if (const auto members = membersOf(Self.Domain); !members.empty())
    deliveries.push_back(
        {members, {Self.Name, BundleKind::Direct, isUrgent, false, {own}}});
  sendDirectly(own, now, deliveries);
  std::vector<StampedReport> reports = takePending(now);
  reports.push_back(own);
  if (isRelay(now))
    relay(reports, now, deliveries);
  return deliveries;
}

bool PeerRelays::record(const StampedReport &report, core::Millis now) {
  const auto it = Records.find(report.Origin);
  if (it != Records.end() && report.Stamp <= it->second.Newest)
    return false;
  Record &known = Records[report.Origin];
  known.Newest = report.Stamp;
  known.At = now;
  return true;
}

bool PeerRelays::isToForward(const StampedReport &report) {
  Record &known = Records[report.Origin];
  if (report.Stamp != known.Newest || known.Forwarded == report.Stamp)
    return false;
  known.Forwarded = report.Stamp;
  return true;
}

std::vector<Delivery> PeerRelays::relayPending(core::Millis now) {
  std::vector<Delivery> deliveries;
  if (!ToRelay.empty() && isRelay(now))
    relay(takePending(now), now, deliveries);
  return deliveries;
}

Reception PeerRelays::onBundle(const Bundle &bundle, core::Millis now) {
  Reception result;
  const auto sender = Members.find(bundle.Sender);
  if (sender == Members.end() || !Self.knowsBundles())
    return result;
  const bool isOwnDomain = sender->second.Domain == Self.Domain;
  HeardAt[bundle.Sender] = now;
  if (bundle.AsksForDirect && !isOwnDomain)
    AskedAt[bundle.Sender] = now;
  std::vector<StampedReport> forwarded;
  std::vector<StampedReport> urgent;
  for (const StampedReport &it : bundle.Reports) {
    const auto origin = Members.find(it.Origin);
    const bool isDirect = bundle.Kind == BundleKind::Direct;
    if (origin == Members.end() || (isDirect && it.Origin != bundle.Sender))
      continue;
    const bool isNew = record(it, now);
    if (isNew)
      result.Accepted.push_back(it);
    const core::FailureDomainId &domain = origin->second.Domain;
    if (domain == Self.Domain) {
      if (isNew && isDirect)
        (bundle.Urgent && isRelay(now))
            ? urgent.push_back(it)
            : void(ToRelay.insert_or_assign(it.Origin, Pending{it, now}));
      continue;
    }
    // A report that came directly before also shows that the relays work.
    if (!isDirect && Records[it.Origin].Newest == it.Stamp)
      RelayedAt[domain] = now;
    if (bundle.Kind == BundleKind::Relayed && !isOwnDomain && isToForward(it))
      forwarded.push_back(it);
  }
  const auto neighbours = membersOf(Self.Domain);
  if (!forwarded.empty() && !neighbours.empty())
    result.Onward.push_back(
        {neighbours,
         {Self.Name, BundleKind::Forwarded, false, false, forwarded}});
  for (const StampedReport &it : urgent)
    ToRelay.erase(it.Origin);
  relay(urgent, now, result.Onward);
  return result;
}

void PeerRelays::expire(core::Millis now) {
  std::erase_if(Records, [&](const auto &it) {
    return now - it.second.At > StampLifetime;
  });
  const auto isOld = [&](const auto &it) { return now - it.second >= Silence; };
  std::erase_if(HeardAt, isOld);
  std::erase_if(AskedAt, isOld);
  std::erase_if(RelayedAt, isOld);
}

} // namespace cowslipridge::peers
