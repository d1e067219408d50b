#include "cowslipridge/route/PrefillForecast.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::route {

namespace {

constexpr double MinMillisPerToken = 0.0005;
constexpr double MaxMillisPerToken = 2;
constexpr double InitialFixedMillis = 20;
/// Delay that each answer being generated adds to the first token of another
/// attempt, before attempts have been observed.
constexpr double InitialMillisPerRunningAnswer = 2;
constexpr double MillisPerSecond = 1'000;
constexpr double TokensPerThousand = 1'000;
/// Exponent of the ratio of actual to predicted time in the moving average of a
/// runner's slowness.
constexpr double SlownessGain = 0.15;
/// Exponent that draws a slowness towards 1 at each observation. Without it,
/// slowness and model fit could drift apart in opposite directions.
constexpr double SlownessRetention = 0.98;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 12;
/// Interval between two stream events on a runner without observations.
constexpr double InitialEventIntervalMillis = 60;
/// Weight of a new interval in the exponential moving average.
constexpr double EventIntervalGain = 0.12;
/// Half-life of an observed interval's weight against the initial value.
constexpr double EventIntervalHalfLifeMillis = 3'000;
} // namespace

PrefillForecast::ModelFit PrefillForecast::makeFit(double millisPerToken) {
  const double perThousand = TokensPerThousand * millisPerToken;
  return {
      {InitialFixedMillis, perThousand, MillisPerSecond,
       InitialMillisPerRunningAnswer},
      {100, perThousand * perThousand, MillisPerSecond * 10, 1},
      {.NoiseVariance = 2500, .ForgettingFactor = 0.998, .MaxCovariance = 1e5}};
}

PrefillForecast::ModelFit::Vector
PrefillForecast::featuresOf(std::uint64_t uncachedTokens,
                            const ServerLoad &ahead) {
  return {1, static_cast<double>(uncachedTokens) / TokensPerThousand,
          ahead.PendingMillis / MillisPerSecond,
          static_cast<double>(ahead.Running)};
}

const PrefillForecast::ModelFit &
PrefillForecast::fitOf(const std::string &model) const {
  const auto it = Fits.find(model);
  return it == Fits.end() ? UnknownModel : it->second;
}

void PrefillForecast::registerModel(const std::string &model,
                                    double relativeCost) {
  Fits.try_emplace(model,
                   makeFit(std::clamp(InitialMillisPerToken * relativeCost,
                                      MinMillisPerToken, MaxMillisPerToken)));
}

double PrefillForecast::prefillMillis(const std::string &model,
                                      std::uint64_t tokens) const {
  const double rate =
      std::clamp(fitOf(model).coefficients()[1] / TokensPerThousand,
                 MinMillisPerToken, MaxMillisPerToken);
  return rate * static_cast<double>(tokens);
}

double PrefillForecast::slowness(const core::RunnerId &runner) const {
  const auto it = Slowness.find(runner);
  return it == Slowness.end() ? 1 : it->second;
}

ServerLoad &ServerLoad::operator+=(const ServerLoad &other) {
  PendingMillis += other.PendingMillis;
  Waiting += other.Waiting;
  Running += other.Running;
  return *this;
}

ServerLoad PrefillForecast::load(const core::RunnerId &runner) const {
  ServerLoad total;
  if (const auto own = Own.find(runner); own != Own.end())
    total = own->second;
  if (const auto it = RemoteTotals.find(runner); it != RemoteTotals.end()) {
    total += it->second;
  }
  return total;
}

void PrefillForecast::addRemote(
    const std::map<core::RunnerId, ServerLoad> &loads) {
  for (const auto &[runner, load] : loads) {
    RemoteTotals[runner] += load;
  }
}

void PrefillForecast::subtractRemote(
    const std::map<core::RunnerId, ServerLoad> &loads) {
  for (const auto &[runner, load] : loads) {
    const auto it = RemoteTotals.find(runner);
    if (it == RemoteTotals.end())
      continue;
    ServerLoad &total = it->second;
    total.Waiting -= load.Waiting;
    total.Running -= load.Running;
    total.PendingMillis =
        std::max(0.0, total.PendingMillis - load.PendingMillis);
    // Leaves no rounding error behind.
    if (total.requests() == 0)
      RemoteTotals.erase(it);
  }
}

core::Millis PrefillForecast::maxRemoteLoadAge(core::Millis now) const {
  core::Millis age;
  for (const auto &[gateway, remote] : Remote)
    age = std::max(age, now - remote.ReportReceivedAt);
  return age;
}

core::Millis
PrefillForecast::timeToFirstToken(const core::RunnerId &runner,
                                  const std::string &model,
                                  std::uint64_t uncachedTokens) const {
  return forecast(runner, model, uncachedTokens, load(runner));
}

core::Millis
PrefillForecast::idleTimeToFirstToken(const core::RunnerId &runner,
                                      const std::string &model,
                                      std::uint64_t uncachedTokens) const {
  return forecast(runner, model, uncachedTokens, ServerLoad());
}

core::Millis PrefillForecast::forecast(const core::RunnerId &runner,
                                       const std::string &model,
                                       std::uint64_t uncachedTokens,
                                       const ServerLoad &ahead) const {
  const double millis = fitOf(model).predict(featuresOf(uncachedTokens, ahead));
  return core::Millis(std::llround(slowness(runner) * millis));
}

void PrefillForecast::onAttemptSent(std::uint64_t ticket,
                                    const core::RunnerId &runner,
                                    const std::string &model,
                                    std::uint64_t uncachedTokens,
                                    core::Millis now) {
  Attempt attempt;
  attempt.Runner = runner;
  attempt.Model = model;
  attempt.Tokens = uncachedTokens;
  attempt.WorkMillis = prefillMillis(model, uncachedTokens);
  attempt.PredictedMillis = static_cast<double>(
      timeToFirstToken(runner, model, uncachedTokens).count());
  attempt.Ahead = load(runner);
  attempt.SentAt = now;
  ServerLoad &own = Own[runner];
  own.PendingMillis += attempt.WorkMillis;
  ++own.Waiting;
  Attempts.emplace(ticket, std::move(attempt));
}

void PrefillForecast::onFirstToken(std::uint64_t ticket, core::Millis now) {
  const auto it = Attempts.find(ticket);
  if (it == Attempts.end() || it->second.HasFirstToken)
    return;
  Attempt &attempt = it->second;
  attempt.HasFirstToken = true;
  attempt.LastEventAt = now;
  ServerLoad &own = Own[attempt.Runner];
  own.PendingMillis = std::max(0.0, own.PendingMillis - attempt.WorkMillis);
  --own.Waiting;
  ++own.Running;
  updateEstimates(attempt, static_cast<double>((now - attempt.SentAt).count()));
}

void PrefillForecast::updateEstimates(const Attempt &attempt, double elapsed) {
  const double ratio = std::clamp(elapsed / attempt.PredictedMillis, 0.1, 10.0);
  double &slowness = Slowness.try_emplace(attempt.Runner, 1).first->second;
  slowness = std::clamp(std::pow(slowness, SlownessRetention) *
                            std::pow(ratio, SlownessGain),
                        MinSlowness, MaxSlowness);
  // The runner's slowness is divided out, so that only the remaining error
  // changes the fit of the model.
  Fits.try_emplace(attempt.Model, UnknownModel)
      .first->second.observe(featuresOf(attempt.Tokens, attempt.Ahead),
                             elapsed / slowness);
}

void PrefillForecast::onStreamEvents(std::uint64_t ticket, unsigned events,
                                     core::Millis now) {
  const auto it = Attempts.find(ticket);
  if (it == Attempts.end() || events == 0)
    return;
  Attempt &attempt = it->second;
  const double gap =
      static_cast<double>((now - attempt.LastEventAt).count()) / events;
  attempt.LastEventAt = now;
  EventInterval &interval =
      EventIntervals
          .try_emplace(attempt.Runner,
                       EventInterval{InitialEventIntervalMillis, now})
          .first->second;
  interval.MeanMillis += EventIntervalGain * (gap - interval.MeanMillis);
  interval.UpdatedAt = now;
}

double PrefillForecast::eventIntervalMillis(const core::RunnerId &runner,
                                            core::Millis now) const {
  const auto it = EventIntervals.find(runner);
  if (it == EventIntervals.end())
    return InitialEventIntervalMillis;
  const auto age = static_cast<double>((now - it->second.UpdatedAt).count());
  const double weight = std::exp2(-age / EventIntervalHalfLifeMillis);
  return InitialEventIntervalMillis +
         weight * (it->second.MeanMillis - InitialEventIntervalMillis);
}

void PrefillForecast::onAttemptEnded(std::uint64_t ticket) {
  const auto it = Attempts.find(ticket);
  if (it == Attempts.end())
    return;
  const Attempt &attempt = it->second;
  const auto own = Own.find(attempt.Runner);
  if (own != Own.end()) {
    ServerLoad &load = own->second;
    if (attempt.HasFirstToken) {
      --load.Running;
    } else {
      load.PendingMillis =
          std::max(0.0, load.PendingMillis - attempt.WorkMillis);
      --load.Waiting;
    }
    if (load.requests() == 0)
      Own.erase(own);
  }
  Attempts.erase(it);
}

void PrefillForecast::setRemoteLoads(
    const core::InstanceId &gateway,
    const std::map<core::RunnerId, ServerLoad> &loads, core::Millis now) {
  removeRemoteLoads(gateway);
  addRemote(loads);
  Remote.emplace(gateway, RemoteLoads{loads, now});
}

void PrefillForecast::removeRemoteLoads(const core::InstanceId &gateway) {
  const auto it = Remote.find(gateway);
  if (it == Remote.end())
    return;
  subtractRemote(it->second.Loads);
  Remote.erase(it);
}

void PrefillForecast::removeRunner(const core::RunnerId &runner) {
  Slowness.erase(runner);
  EventIntervals.erase(runner);
}

} // namespace cowslipridge::route
