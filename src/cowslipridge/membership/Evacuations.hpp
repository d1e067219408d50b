#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cowslipridge::membership {

/// Tracks the failure domains that operators have evacuated: their runners get
/// nothing new until the evacuation is withdrawn.
///
/// A store that was restored from an older copy lacks the commands since the
/// copy, and shows some that were withdrawn since. The former stay in force for
/// a while, the latter apply only later: the operator writes the current ones
/// again.
class Evacuations {
public:
  /// Time for which a command stays in force that a restored store lacks, not
  /// counting outages.
  static constexpr core::Millis MissingCommandPeriod{10'000};
  /// Time after which a command applies that a restored store shows although it
  /// was withdrawn.
  static constexpr core::Millis OldCommandDelay{5'000};
  /// Time for which the report of a peer counts.
  static constexpr core::Millis ReportLifetime{2'000};

  void onCommand(const core::FailureDomainId &domain);
  void onWithdrawn(const core::FailureDomainId &domain, core::Millis now);
  /// Handles a complete listing of the commands.
  void onListed(const std::set<core::FailureDomainId> &domains,
                bool afterRestore, core::Millis now);
  /// Handles the report of a peer. It counts while the store is unavailable
  /// here, which may be so for some gateways only.
  void onPeerReport(const std::set<core::FailureDomainId> &domains,
                    core::Millis now);
  void onStoreUnavailable() { StoreUnavailable = true; }
  void onStoreAvailable() { StoreUnavailable = false; }
  /// Applies what is due and returns the domains whose evacuation has ended
  /// since the last call.
  std::vector<core::FailureDomainId> update(core::Millis now);

  [[nodiscard]] bool isEvacuated(const core::FailureDomainId &domain,
                                 core::Millis now) const;
  /// Returns the domains that commands of the store evacuate.
  [[nodiscard]] std::set<core::FailureDomainId> commanded() const;

private:
  struct Command {
    std::optional<core::Millis> AppliesAt; ///< deferred; none: in force
    std::optional<core::Millis> EndsAt;    ///< missing since a restore
  };

  [[nodiscard]] std::set<core::FailureDomainId>
  evacuated(core::Millis now) const;

  std::map<core::FailureDomainId, Command> Commands;
  std::map<core::FailureDomainId, core::Millis> WithdrawnAt;
  std::map<core::FailureDomainId, core::Millis> ReportedAt; ///< by peers
  std::set<core::FailureDomainId> Applied; ///< as of the last update
  bool StoreUnavailable = false;
};

} // namespace cowslipridge::membership
