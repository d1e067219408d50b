#include "cowslipridge/gateway/RunnerEligibility.hpp"

#include "cowslipridge/gateway/RequestTraits.hpp"

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Retry-After while all runners of a service are in evacuated failure domains:
/// an evacuation lasts for seconds at least.
constexpr core::Millis EvacuationRetryAfter{1'000};
/// Bounds the number of sessions in one report, so that it fits a datagram.
constexpr std::size_t MaxReportedPins = 60;

// Returns whether requests that belong to these regions may run in `region`.
bool allows(const std::vector<std::string> &regions,
            const std::string &region) {
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

RunnerEligibility::RunnerEligibility(const config::GatewaySettings &settings,
                                     const EligibilityInputs &inputs)
    : Regions(settings.Regions), SessionLifetime(settings.SessionLifetime),
      Servers(inputs.Servers), Evacuated(inputs.Evacuated),
      Trials(inputs.Trials), Ejections(inputs.Ejections),
      RateLimits(inputs.RateLimits), Backoff(inputs.Backoff) {}

void RunnerEligibility::onSelected(const RequestContext &request,
                                   const membership::BackendServer &server,
                                   core::Millis now) {
  if (!request.Caller.Session.empty())
    Pins.insert_or_assign(request.Caller.Session.str(),
                          Pin{serviceOf(request), server.Version, now});
}

std::vector<std::uint64_t>
RunnerEligibility::pinnedSessions(core::Millis now) const {
  std::vector<std::uint64_t> hashes;
  for (const auto &[session, pin] : Pins) {
    const auto target = Trials.activeTarget(pin.Service);
    const std::uint64_t hash = hashOf(session);
    const bool isPinned = target && pin.Version != *target &&
                          now - pin.UsedAt <= SessionLifetime &&
                          Trials.hasStickySessions(pin.Service, now) &&
                          Trials.isAssignedToTarget(pin.Service, hash);
    if (isPinned && hashes.size() < MaxReportedPins)
      hashes.push_back(hash);
  }
  return hashes;
}

void RunnerEligibility::addRemotePins(const std::vector<std::uint64_t> &hashes,
                                      core::Millis now) {
  for (const std::uint64_t it : hashes)
    RemotePins.insert_or_assign(it, now);
}

void RunnerEligibility::tick(core::Millis now) {
  std::erase_if(RemotePins, [&](const auto &it) {
    return now - it.second > SessionLifetime;
  });
  std::erase_if(Pins, [&](const auto &pin) {
    return now - pin.second.UsedAt > SessionLifetime * 2;
  });
}

ServerList RunnerEligibility::serving(const RequestContext &request,
                                      core::Millis now) const {
  const core::ServiceId service = serviceOf(request);
  ServerList servers;
  for (const auto &[id, server] : Servers.all()) {
    const bool usable = server.Service == service && !server.Draining &&
                        !Evacuated.isEvacuated(server.Domain, now) &&
                        isAtHome(request, server) &&
                        !Trials.isBanned(service, server.Version);
    if (usable)
      servers.push_back(&server);
  }
  filterByVersion(request, service, servers, now);
  return servers;
}

core::Millis
RunnerEligibility::unavailableFor(const membership::BackendServer &server,
                                  core::Millis now) const {
  return std::max(Backoff.remaining(server.Id, server.StartedAt, now),
                  RateLimits.remaining(server.Id, now));
}

core::Millis
RunnerEligibility::timeUntilAvailable(const RequestContext &request,
                                      core::Millis now) const {
  std::optional<core::Millis> shortest;
  for (const auto *server : serving(request, now)) {
    const core::Millis remaining = unavailableFor(*server, now);
    shortest = std::min(shortest.value_or(remaining), remaining);
  }
  if (shortest)
    return *shortest;
  const auto &all = Servers.all();
  const bool isEvacuated =
      std::any_of(all.begin(), all.end(), [&](const auto &it) {
        return it.second.Service == serviceOf(request) &&
               Evacuated.isEvacuated(it.second.Domain, now);
      });
  return isEvacuated ? EvacuationRetryAfter : core::Millis();
}

// After the loss of all gateways, all runners are assumed to be cold. Their
// limits would leave requests without a runner although each can take them: as
// all look alike, none gets more than its part.
ServerList RunnerEligibility::available(const ServerList &servers,
                                        core::Millis now) const {
  ServerList available;
  ServerList assumed;
  for (const auto *it : servers) {
    if (unavailableFor(*it, now) <= core::Millis())
      available.push_back(it);
    else if (RateLimits.mayExceed(it->Id) &&
             Backoff.remaining(it->Id, it->StartedAt, now) <= core::Millis())
      assumed.push_back(it);
  }
  return available.empty() ? assumed : available;
}

ServerList
RunnerEligibility::eligible(const RequestContext &request,
                            const std::vector<core::RunnerId> &excluded,
                            core::Millis now) const {
  ServerList servers = serving(request, now);
  std::erase_if(servers, [&](const auto *it) {
    return std::find(excluded.begin(), excluded.end(), it->Id) !=
           excluded.end();
  });
  servers = available(servers, now);
  // Ejected runners are used when there is no healthy one.
  const auto healthy = std::stable_partition(
      servers.begin(), servers.end(),
      [&](const auto *it) { return !Ejections.isEjected(it->Id, now); });
  if (healthy != servers.begin())
    servers.erase(healthy, servers.end());
  return servers;
}

void RunnerEligibility::filterByVersion(const RequestContext &request,
                                        const core::ServiceId &service,
                                        ServerList &servers,
                                        core::Millis now) const {
  using Choice = rollout::TrialControl::Choice;
  auto choice = Trials.choose(service, sessionHashOf(request), now);
  if (choice.Versions == Choice::Any)
    return;
  const auto isTarget = [&](const auto *it) {
    return it->Version == choice.Target;
  };
  const auto pin = Pins.find(request.Caller.Session.str());
  const bool pinned = !request.Caller.Session.empty() && pin != Pins.end() &&
                      now - pin->second.UsedAt <= SessionLifetime;
  if (pinned && Trials.hasStickySessions(service, now))
    choice.Versions =
        pin->second.Version == choice.Target ? Choice::Target : Choice::Stable;
  const bool pinnedElsewhere = !pinned &&
                               RemotePins.contains(sessionHashOf(request)) &&
                               Trials.hasStickySessions(service, now);
  if (pinnedElsewhere)
    choice.Versions = Choice::Stable;
  // New sessions start on the stable version until the target has runners.
  const bool targetServes =
      std::any_of(servers.begin(), servers.end(), isTarget);
  if (choice.Versions == Choice::Target && !targetServes && !pinned)
    choice.Versions = Choice::Stable;
  std::erase_if(servers, [&](const auto *it) {
    return isTarget(it) != (choice.Versions == Choice::Target);
  });
  // A session may stay on an abandoned version that it began on.
  if (choice.Versions != Choice::Stable || pinned)
    return;
  const auto serving = std::stable_partition(
      servers.begin(), servers.end(),
      [&](const auto *it) { return !Trials.isUnproved(service, it->Version); });
  if (serving != servers.begin())
    servers.erase(serving, servers.end());
}

bool RunnerEligibility::isAtHome(
    const RequestContext &request,
    const membership::BackendServer &server) const {
  const auto known = Regions.find(server.Domain);
  const std::string region = known == Regions.end() ? "" : known->second;
  return allows(request.Route->HomeRegions, region) &&
         (request.Organisation == nullptr ||
          allows(request.Organisation->HomeRegions, region));
}

} // namespace cowslipridge::gateway
