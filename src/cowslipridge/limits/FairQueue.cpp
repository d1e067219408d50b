#include "cowslipridge/limits/FairQueue.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

/// Part of its weight that started work keeps at each later start.
/// Use over the fair share up to which an organisation still goes first.
constexpr double FairTolerance = 1.5;
constexpr double RecentKeep = 0.98;

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

Arrival FairQueue::take(Tenants::iterator tenant, Waiting::iterator request) {
  Arrival taken = std::move(request->second);
  tenant->second.Requests.erase(request);
  tenant->second.Work -= workOf(taken);
  Work -= workOf(taken);
  --Size;
  return taken;
}

void FairQueue::forgetIfIdle(Tenants::iterator tenant) {
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
    other.Recent *= RecentKeep;
  tenant.Recent += workOf(arrival);
  tenant.NextStart = start + workOf(arrival) / weightOf(arrival.Weight);
}

std::optional<Arrival> FairQueue::pop() {
  auto next = ByOrganisation.end();
  double nextStart = 0;
  for (auto it = ByOrganisation.begin(); it != ByOrganisation.end();) {
    const auto current = it++;
    if (current->second.Requests.empty()) {
      forgetIfIdle(current);
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
  Arrival taken = take(next, next->second.Requests.begin());
  charge(taken);
  return taken;
}

std::optional<Arrival> FairQueue::popLeastDeserving() {
  const auto excess = [](const auto &entry) {
    return entry.second.Work / weightOf(entry.second.Weight);
  };
  const auto worst = std::max_element(
      ByOrganisation.begin(), ByOrganisation.end(),
      [&](const auto &a, const auto &b) { return excess(a) < excess(b); });
  if (worst == ByOrganisation.end() || worst->second.Requests.empty())
    return std::nullopt;
  return take(worst, std::prev(worst->second.Requests.end()));
}

bool FairQueue::remove(const core::RequestId &request) {
  return !removeIf([&](const Arrival &it) {
            return it.Request == request;
          }).empty();
}

bool FairQueue::contains(const core::RequestId &request) const {
  const auto isRequest = [&](const auto &waiting) {
    return waiting.second.Request == request;
  };
  return std::any_of(
      ByOrganisation.begin(), ByOrganisation.end(), [&](const auto &entry) {
        const Waiting &waiting = entry.second.Requests;
        return std::any_of(waiting.begin(), waiting.end(), isRequest);
      });
}

FairQueue::Share FairQueue::shareOf(const Arrival &arrival) const {
  double weights = weightOf(arrival.Weight);
  double recent = 0;
  double ownRecent = 0;
  for (const auto &[organisation, tenant] : ByOrganisation) {
    recent += tenant.Recent;
    if (organisation == arrival.Organisation)
      ownRecent = tenant.Recent;
    else if (!tenant.Requests.empty() || tenant.Recent > 0)
      weights += weightOf(tenant.Weight);
  }
  const double used = recent > 0 ? ownRecent / recent : 0;
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
  // One that used less than its share goes before the others' waiting work.
  if (share.Used < FairTolerance * share.Fair)
    return std::min(Work, ownWork / share.Fair);
  return ownWork / share.Used;
}

} // namespace cowslipridge::limits
