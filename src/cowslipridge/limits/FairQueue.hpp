#pragma once

#include "cowslipridge/limits/Admission.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cowslipridge::limits {

/// Start-time fair queue over organisations: each gets a share of the started
/// work in proportion to its weight, while it wants it. Within an organisation
/// the earliest deadline goes first.
class FairQueue {
public:
  void push(const Arrival &arrival);
  /// Takes the request that is to start next.
  std::optional<Arrival> pop();
  /// Takes the latest-deadline request of the organisation with the most
  /// waiting work for its weight.
  std::optional<Arrival> popLeastDeserving();
  bool remove(const core::RequestId &request);
  [[nodiscard]] bool contains(const core::RequestId &request) const;
  /// Takes every request for which `condition` holds.
  template <typename Condition>
  std::vector<Arrival> removeIf(Condition condition);

  /// Counts work of `arrival` that starts without having waited.
  void charge(const Arrival &arrival);

  [[nodiscard]] std::size_t size() const { return Size; }
  [[nodiscard]] bool empty() const { return Size == 0; }
  /// Expected work of all that wait.
  [[nodiscard]] double waitingWork() const { return Work; }
  /// Work that starts before `arrival` would: its own organisation's waiting
  /// work, and what the others start meanwhile. That is taken from the share
  /// that the organisation got of late; one under its fair share waits for no
  /// more than all that waits now.
  [[nodiscard]] double workAhead(const Arrival &arrival) const;

private:
  using Waiting = std::multimap<core::Millis, Arrival>; // by deadline
  struct Tenant {
    Waiting Requests;
    double Work = 0;
    double Recent = 0;    ///< work started of late, discounted per start
    double NextStart = 0; ///< virtual time at which its next request starts
    unsigned Weight = 1;
  };
  using Tenants = std::map<core::OrganisationId, Tenant>;

  Arrival take(Tenants::iterator tenant, Waiting::iterator request);
  /// Parts of the started work, 0..1.
  struct Share {
    double Fair = 0; ///< by weight
    double Used = 0; ///< of late
  };
  [[nodiscard]] Share shareOf(const Arrival &arrival) const;
  void forgetIfIdle(Tenants::iterator tenant);

  Tenants ByOrganisation;
  double VirtualTime = 0;
  double Work = 0;
  std::size_t Size = 0;
};

template <typename Condition>
std::vector<Arrival> FairQueue::removeIf(Condition condition) {
  std::vector<Arrival> removed;
  for (auto tenant = ByOrganisation.begin(); tenant != ByOrganisation.end();) {
    auto &requests = tenant->second.Requests;
    for (auto it = requests.begin(); it != requests.end();) {
      const auto current = it++;
      if (condition(current->second))
        removed.push_back(take(tenant, current));
    }
    forgetIfIdle(tenant++);
  }
  return removed;
}

} // namespace cowslipridge::limits
