#include "cowslipridge/limits/FairQueue.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

/// Factor over its fair share up to which an organisation still starts before
/// the queued work of the others.
constexpr double OverShareTolerance = 1.5;
/// Factor by which each start reduces the weight of work that started earlier.
constexpr double RecentWorkDecay = 0.98;

double workOf(const Arrival &arrival) {
  return std::max(1.0, static_cast<double>(arrival.ExpectedWork.count()));
}

double weightOf(unsigned weight) { return std::max(1U, weight); }

} // namespace

void FairQueue::push(const Arrival &arrival) {
  Tenant &tenant = ByOrganisation[arrival.Organisation];
  tenant.Weight = arrival.Weight;
  tenant.Requests.emplace(arrival.Deadline, arrival);
  tenant.Work += workOf(arrival);
  Work += workOf(arrival);
  ++Size;
}

Arrival FairQueue::extract(Tenants::iterator tenant,
                           QueuedByDeadline::iterator request) {
  Arrival taken = std::move(request->second);
  tenant->second.Requests.erase(request);
  tenant->second.Work -= workOf(taken);
  Work -= workOf(taken);
  --Size;
  return taken;
}

void FairQueue::eraseIfIdle(Tenants::iterator tenant) {
  if (tenant->second.Requests.empty() &&
      tenant->second.NextStart <= VirtualTime)
    ByOrganisation.erase(tenant);
}

void FairQueue::charge(const Arrival &arrival) {
  Tenant &tenant = ByOrganisation[arrival.Organisation];
  tenant.Weight = arrival.Weight;
  const double start = std::max(VirtualTime, tenant.NextStart);
  VirtualTime = start;
  for (auto &[organisation, other] : ByOrganisation)
    other.RecentWork *= RecentWorkDecay;
  tenant.RecentWork += workOf(arrival);
  tenant.NextStart = start + workOf(arrival) / weightOf(arrival.Weight);
}

std::optional<Arrival> FairQueue::pop() {
  auto next = ByOrganisation.end();
  double nextStart = 0;
  for (auto it = ByOrganisation.begin(); it != ByOrganisation.end();) {
    const auto current = it++;
    if (current->second.Requests.empty()) {
      eraseIfIdle(current);
      continue;
    }
    const double start = std::max(VirtualTime, current->second.NextStart);
    if (next == ByOrganisation.end() || start < nextStart) {
      next = current;
      nextStart = start;
    }
  }
  if (next == ByOrganisation.end())
    return std::nullopt;
  Arrival taken = extract(next, next->second.Requests.begin());
  charge(taken);
  return taken;
}

std::optional<Arrival> FairQueue::popToShed() {
  const auto excess = [](const auto &entry) {
    return entry.second.Work / weightOf(entry.second.Weight);
  };
  const auto worst = std::max_element(
      ByOrganisation.begin(), ByOrganisation.end(),
      [&](const auto &a, const auto &b) { return excess(a) < excess(b); });
  if (worst == ByOrganisation.end() || worst->second.Requests.empty())
    return std::nullopt;
  return extract(worst, std::prev(worst->second.Requests.end()));
}

bool FairQueue::remove(const core::RequestId &request) {
  return !removeIf([&](const Arrival &it) {
            return it.Request == request;
          }).empty();
}

bool FairQueue::contains(const core::RequestId &request) const {
  const auto isRequest = [&](const auto &queued) {
    return queued.second.Request == request;
  };
  return std::any_of(
      ByOrganisation.begin(), ByOrganisation.end(), [&](const auto &entry) {
        const QueuedByDeadline &queued = entry.second.Requests;
        return std::any_of(queued.begin(), queued.end(), isRequest);
      });
}

FairQueue::Share FairQueue::shareOf(const Arrival &arrival) const {
  double weights = weightOf(arrival.Weight);
  double recentWork = 0;
  double ownRecentWork = 0;
  for (const auto &[organisation, tenant] : ByOrganisation) {
    recentWork += tenant.RecentWork;
    if (organisation == arrival.Organisation)
      ownRecentWork = tenant.RecentWork;
    else if (!tenant.Requests.empty() || tenant.RecentWork > 0)
      weights += weightOf(tenant.Weight);
  }
  const double used = recentWork > 0 ? ownRecentWork / recentWork : 0;
  return {weightOf(arrival.Weight) / weights, used};
}

double FairQueue::workAhead(const Arrival &arrival) const {
  const auto tenant = ByOrganisation.find(arrival.Organisation);
  if (tenant == ByOrganisation.end())
    return 0;
  double ownWork = 0;
  const auto &requests = tenant->second.Requests;
  const auto later = requests.upper_bound(arrival.Deadline);
  for (auto it = requests.begin(); it != later; ++it)
    ownWork += workOf(it->second);
  const Share share = shareOf(arrival);
  // An organisation that used less than its share starts before the queued work
  // of the others.
  if (share.Used < OverShareTolerance * share.Fair)
    return std::min(Work, ownWork / share.Fair);
  return ownWork / share.Used;
}

} // namespace cowslipridge::limits
