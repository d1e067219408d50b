#include "cowslipridge/gateway/AdmissionOrder.hpp"

#include "cowslipridge/gateway/RequestTraits.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::gateway {

core::Millis AdmissionOrder::shortestTarget(const RequestContext &request,
                                            const core::ServiceId &service) {
  if (Known != request.Catalogue) {
    Known = request.Catalogue;
    ShortestTargets.clear();
    for (const catalogue::Route &route : Known->catalogue().Routes)
      for (const catalogue::WeightedService &it : route.Services) {
        core::Millis &target =
            ShortestTargets.try_emplace(it.Service, route.TargetLatency)
                .first->second;
        target = std::min(target, route.TargetLatency);
      }
  }
  const auto it = ShortestTargets.find(service);
  return it == ShortestTargets.end() ? request.Route->TargetLatency
                                     : it->second;
}

int AdmissionOrder::onSent(std::uint64_t ticket, const RequestContext &request,
                           const OrderedAttempt &attempt, core::Millis now) {
  const int rank = rankOf(request);
  if (request.Caller.Prompt.empty())
    return rank;
  const core::ServiceId &service = serviceOf(request);
  ServiceState &state = Services[service];
  const core::OrganisationId organisation = request.Organisation != nullptr
                                                ? request.Organisation->Name
                                                : core::OrganisationId();
  limits::AdmissionFacts facts;
  facts.Rank = rank;
  facts.ArrivedAt = request.ArrivedAt;
  facts.Target = request.Route->TargetLatency;
  facts.ShortestTarget = shortestTarget(request, service);
  facts.Deadline = request.Deadline;
  facts.Returned = attempt.Kind != AttemptKind::First ||
                   request.Caller.Remaining.value_or(request.Route->Timeout) <
                       request.Route->Timeout;
  facts.OverShare = state.Shares.isOver(organisation, now);
  facts.Work.FirstToken = attempt.FirstToken - attempt.Waiting;
  // Callers are spread over gateways by a hash, so that the requests of all
  // have about the same priorities as those of this one.
  const auto wait =
      static_cast<double>(std::max(core::Millis(), attempt.Waiting).count());
  double all = 0;
  for (const double it : state.Pending)
    all += it;
  double ahead = 0;
  for (std::size_t n = 0; n < state.Pending.size(); ++n) {
    ahead += state.Pending.at(n);
    facts.Work.Ahead.at(n) =
        core::Millis(std::llround(all > 0 ? wait * ahead / all : wait));
  }
  const limits::Capacity capacity{{}, attempt.LoadAge};
  const auto decision = limits::AdmissionPolicy::decide(facts, capacity, now);
  const auto *sent = std::get_if<limits::SendNow>(&decision);
  const int priority = sent != nullptr ? sent->EnginePriority : rank;
  const auto work = static_cast<double>(facts.Work.FirstToken.count());
  state.Pending.at(static_cast<std::size_t>(priority)) += work;
  state.Shares.record(organisation, work,
                      limits::AdmissionPolicy::isScarce(facts, capacity), now);
  Attempts.emplace(ticket,
                   Waiting{service, static_cast<std::size_t>(priority), work});
  return priority;
}

void AdmissionOrder::onAnsweredOrEnded(std::uint64_t ticket) {
  const auto it = Attempts.find(ticket);
  if (it == Attempts.end())
    return;
  double &pending =
      Services[it->second.Service].Pending.at(it->second.Priority);
  pending = std::max(0.0, pending - it->second.WorkMillis);
  Attempts.erase(it);
}

void AdmissionOrder::tick(core::Millis now) {
  for (auto &[service, state] : Services)
    state.Shares.tick(now);
}

} // namespace cowslipridge::gateway
