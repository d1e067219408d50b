#include "cowslipridge/membership/Evacuations.hpp"

namespace cowslipridge::membership {

namespace {

/// Time for which a withdrawal is remembered. A copy of the store is only
/// seconds old when it replaces it.
constexpr core::Millis WithdrawalRetention{120'000};

} // namespace

void Evacuations::onCommand(const core::FailureDomainId &domain) {
  Commands.insert_or_assign(domain, Command{});
  WithdrawnAt.erase(domain);
}

void Evacuations::onWithdrawn(const core::FailureDomainId &domain,
                              core::Millis now) {
  Commands.erase(domain);
  WithdrawnAt.insert_or_assign(domain, now);
}

void Evacuations::onListed(const std::set<core::FailureDomainId> &domains,
                           bool afterRestore, core::Millis now) {
  for (const core::FailureDomainId &it : domains) {
    const auto known = Commands.find(it);
    const bool isDeferred = known != Commands.end() && known->second.AppliesAt;
    const bool isOld = afterRestore && WithdrawnAt.contains(it);
    if (!isOld && !isDeferred)
      onCommand(it);
    else if (known == Commands.end())
      Commands.emplace(it, Command{now + OldCommandDelay, {}});
  }
  for (auto it = Commands.begin(); it != Commands.end();) {
    auto &[domain, command] = *it++;
    if (domains.contains(domain))
      continue;
    // Listings that follow the one after a restore don't show either whether
    // the operator has written again what is missing.
    if (command.EndsAt)
      continue;
    if (command.AppliesAt)
      Commands.erase(core::FailureDomainId(domain));
    else if (!afterRestore)
      onWithdrawn(core::FailureDomainId(domain), now);
    else
      command.EndsAt = now + MissingCommandPeriod;
  }
}

void Evacuations::onPeerReport(const std::set<core::FailureDomainId> &domains,
                               core::Millis now) {
  for (const core::FailureDomainId &it : domains)
    ReportedAt.insert_or_assign(it, now);
}

std::vector<core::FailureDomainId> Evacuations::update(core::Millis now) {
  // What the operator writes again can't arrive during an outage.
  for (auto &[domain, command] : Commands) {
    if (StoreUnavailable && command.EndsAt)
      command.EndsAt = now + MissingCommandPeriod;
  }
  std::erase_if(Commands, [&](const auto &it) {
    return it.second.EndsAt && now >= *it.second.EndsAt;
  });
  for (auto &[domain, command] : Commands) {
    if (command.AppliesAt && now >= *command.AppliesAt)
      command.AppliesAt.reset();
  }
  std::erase_if(WithdrawnAt, [&](const auto &it) {
    return now - it.second > WithdrawalRetention;
  });
  std::erase_if(ReportedAt, [&](const auto &it) {
    return now - it.second > ReportLifetime;
  });
  const std::set<core::FailureDomainId> current = evacuated(now);
  std::vector<core::FailureDomainId> returned;
  for (const core::FailureDomainId &it : Applied) {
    if (!current.contains(it))
      returned.push_back(it);
  }
  Applied = current;
  return returned;
}

bool Evacuations::isEvacuated(const core::FailureDomainId &domain,
                              core::Millis now) const {
  const auto command = Commands.find(domain);
  if (command != Commands.end() && !command->second.AppliesAt)
    return true;
  const auto reported = ReportedAt.find(domain);
  return StoreUnavailable && reported != ReportedAt.end() &&
         now - reported->second <= ReportLifetime;
}

std::set<core::FailureDomainId> Evacuations::commanded() const {
  std::set<core::FailureDomainId> domains;
  for (const auto &[domain, command] : Commands) {
    if (!command.AppliesAt)
      domains.insert(domain);
  }
  return domains;
}

std::set<core::FailureDomainId> Evacuations::evacuated(core::Millis now) const {
  std::set<core::FailureDomainId> domains = commanded();
  for (const auto &[domain, at] : ReportedAt) {
    if (isEvacuated(domain, now))
      domains.insert(domain);
  }
  return domains;
}

} // namespace cowslipridge::membership
