#pragma once

#include "cowslipridge/limits/Admission.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cowslipridge::limits {

/// Start-time fair queue over organisations: each organisation that has queued
/// requests gets a share of the started work in proportion to its weight.
/// Within an organisation the request with the earliest deadline starts first.
class FairQueue {
public:
  void push(const Arrival &arrival);
  /// Removes and returns the request that is to start next.
  std::optional<Arrival> pop();
  /// Removes and returns the request to drop from a full queue: the one with
  /// the latest deadline of the organisation with the most queued work relative
  /// to its weight.
  std::optional<Arrival> popToShed();
  bool remove(const core::RequestId &request);
  [[nodiscard]] bool contains(const core::RequestId &request) const;
  /// Removes and returns every request for which `condition` holds.
  template <typename Condition>
  std::vector<Arrival> removeIf(Condition condition);

  /// Charges the organisation for `arrival`, which starts without being queued.
  void charge(const Arrival &arrival);

  [[nodiscard]] std::size_t size() const { return Size; }
  [[nodiscard]] bool empty() const { return Size == 0; }
  /// Returns the expected work of all queued requests.
  [[nodiscard]] double queuedWork() const { return Work; }
  /// Returns the work that would start before `arrival`: the queued work of its
  /// organisation with earlier deadlines, and the work that other organisations
  /// start meanwhile. The latter is estimated from the share of recent work
  /// that the organisation got; below its fair share, the result is at most the
  /// work that is queued now.
  [[nodiscard]] double workAhead(const Arrival &arrival) const;

private:
  using QueuedByDeadline = std::multimap<core::Millis, Arrival>;
  struct Tenant {
    QueuedByDeadline Requests;
    double Work = 0;
    double RecentWork = 0; ///< started work, discounted per start
    double NextStart = 0;  ///< virtual time at which its next request starts
    unsigned Weight = 1;
  };
  using Tenants = std::map<core::OrganisationId, Tenant>;

  Arrival extract(Tenants::iterator tenant, QueuedByDeadline::iterator request);
  /// Shares of the started work, 0..1.
  struct Share {
    double Fair = 0; ///< by weight
    double Used = 0; ///< recently
  };
  [[nodiscard]] Share shareOf(const Arrival &arrival) const;
  void eraseIfIdle(Tenants::iterator tenant);

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
        removed.push_back(extract(tenant, current));
    }
    eraseIfIdle(tenant++);
  }
  return removed;
}

} // namespace cowslipridge::limits
