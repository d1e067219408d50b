#include "cowslipridge/gateway/Dispatcher.hpp"

#include <algorithm>
#include <cmath>

// Runners that are cold, or may be: how fast they are loaded.
namespace cowslipridge::gateway {

namespace {

using membership::WarmUpStep;

/// Part of the spare requests of a cold runner that gateways may save up
/// together. The rest is for gateways that do not know of each other yet.
constexpr double SavedShare = 0.5;
/// Factors of the rate in the steps between the cold phase and the whole load.
constexpr double FirstStepFactor = 2;
constexpr double SecondStepFactor = 4;

double factorOf(WarmUpStep step) {
  switch (step) {
  case WarmUpStep::FirstStep:
    return FirstStepFactor;
  case WarmUpStep::SecondStep:
    return SecondStepFactor;
  case WarmUpStep::Cold:
  case WarmUpStep::Warm:
    break;
  }
  return 1;
}

limits::ColdLimit makeLimit(double perSecond,
                            const config::ColdAllowance &allowance,
                            double factor) {
  const double spare = (allowance.Overshoot - 1) * perSecond + allowance.Fixed;
  const double gateways = std::max(1.0, std::floor(SavedShare * spare));
  return {perSecond * factor, static_cast<unsigned>(gateways * factor), false};
}

} // namespace

const catalogue::Service *
Dispatcher::declaredServiceOf(const membership::BackendServer &server) const {
  return Catalogue ? Catalogue->service(server.Service) : nullptr;
}

core::Millis Dispatcher::coldStartOf(const core::RunnerId &runner) const {
  const membership::BackendServer *server = Servers.find(runner);
  const catalogue::Service *service =
      server != nullptr ? declaredServiceOf(*server) : nullptr;
  return service != nullptr ? service->ColdStart : core::Millis();
}

void Dispatcher::onServerEntry(const membership::BackendServer &server,
                               core::Millis now) {
  Cold.onEntry(server, now);
  limitByWarmth(server, now);
  if (server.ColdRemaining == core::Millis())
    return;
  const catalogue::Service *service = declaredServiceOf(server);
  reportNotice(RunnerCold{server.Id, server.ColdRemaining,
                          service != nullptr ? service->ColdPerSecond : 0});
}

void Dispatcher::onStartedBesidePeers(core::Millis now) {
  StartedBesidePeersAt = now;
  assumeAllCold(now);
}

void Dispatcher::assumeAllCold(core::Millis now) {
  for (const auto &[id, server] : Servers.all()) {
    Cold.assumeCold(server, coldStartOf(id), now);
    limitByWarmth(server, now);
  }
}

std::vector<core::FailureDomainId>
Dispatcher::updateEvacuations(core::Millis now) {
  auto returned = Evacuated.update(now);
  for (const core::FailureDomainId &it : returned)
    onDomainReturned(it, now);
  return returned;
}

void Dispatcher::onDomainReturned(const core::FailureDomainId &domain,
                                  core::Millis now) {
  for (const auto &[id, server] : Servers.all()) {
    if (server.Domain != domain)
      continue;
    Cold.setCold(server, coldStartOf(id), now);
    limitByWarmth(server, now);
  }
}

void Dispatcher::onUnreachable(const ActiveAttempt &attempt, core::Millis now) {
  if (coldStartOf(attempt.Runner) == core::Millis())
    return;
  if (!Cold.onUnreachable(attempt.Runner, attempt.RunnerStartedAt, now))
    return;
  UrgentReport = true;
  if (const auto *server = Servers.find(attempt.Runner))
    limitByWarmth(*server, now);
  reportNotice(RunnerSuspected{attempt.Runner});
}

void Dispatcher::onResponsive(const ActiveAttempt &attempt, core::Millis now) {
  const auto *server = Servers.find(attempt.Runner);
  if (server == nullptr || !Cold.isSuspected(attempt.Runner))
    return;
  const core::Millis coldStart = coldStartOf(attempt.Runner);
  const bool isCold = Cold.onResponse(attempt.Runner, attempt.RunnerStartedAt,
                                      attempt.SentAt, coldStart, now);
  UrgentReport = true;
  limitByWarmth(*server, now);
  if (!isCold)
    return;
  reportNotice(RunnerCold{attempt.Runner, coldStart,
                          declaredServiceOf(*server)->ColdPerSecond});
}

void Dispatcher::limitByWarmth(const membership::BackendServer &server,
                               core::Millis now) {
  const catalogue::Service *service = declaredServiceOf(server);
  const WarmUpStep step = Cold.step(server.Id, now);
  const bool isLimited = service != nullptr && service->ColdPerSecond > 0 &&
                         step != WarmUpStep::Warm;
  std::optional<limits::ColdLimit> limit;
  if (isLimited)
    limit = makeLimit(service->ColdPerSecond, Settings.Cold, factorOf(step));
  if (limit)
    limit->IsAssumed = Cold.isAssumed(server.Id, now);
  RateLimits.setColdLimit(server.Id, limit, now);
}

} // namespace cowslipridge::gateway
