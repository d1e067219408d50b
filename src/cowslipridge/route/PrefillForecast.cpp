#include "cowslipridge/route/PrefillForecast.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::route {

namespace {

/// Milliseconds a token, of the most expensive model, before any answer.
constexpr double FirstGuess = 0.05;
constexpr double LeastMillisPerToken = 0.0005;
constexpr double MostMillisPerToken = 2;
constexpr double LearningRate = 0.08;
/// Prompts shorter than this teach little about reading, in tokens.
constexpr double TeachingTokens = 1'000;
constexpr double SlownessRate = 0.15;
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 12;
/// Time between two events on a runner that nothing is known of.
constexpr double FirstEventMillis = 60;
constexpr double PaceRate = 0.12;
/// What was seen of a runner's pace is believed less after this time.
constexpr double PaceLifeMillis = 3'000;
/// Each answer under way slows the others a little, in milliseconds.
constexpr double MillisPerRunning = 2;

} // namespace

void PrefillForecast::registerModel(const std::string &model,
                                    double relativeCost) {
  MillisPerToken.try_emplace(model, std::clamp(FirstGuess * relativeCost,
                                               LeastMillisPerToken,
                                               MostMillisPerToken));
}

double PrefillForecast::prefillMillis(const std::string &model,
                                      std::uint64_t tokens) const {
  const auto it = MillisPerToken.find(model);
  const double rate = it == MillisPerToken.end() ? FirstGuess : it->second;
  return rate * static_cast<double>(tokens);
}

double PrefillForecast::slowness(const core::RunnerId &runner) const {
  const auto it = Slowness.find(runner);
  return it == Slowness.end() ? 1 : it->second;
}

ServerLoad PrefillForecast::load(const core::RunnerId &runner) const {
  ServerLoad total;
  const auto add = [&](const std::map<core::RunnerId, ServerLoad> &loads) {
    const auto it = loads.find(runner);
    if (it == loads.end())
      return;
    total.PendingMillis += it->second.PendingMillis;
    total.Waiting += it->second.Waiting;
    total.Running += it->second.Running;
  };
  add(Own);
  for (const auto &[gateway, remote] : Remote)
    add(remote.Loads);
  return total;
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
  const ServerLoad ahead = load(runner);
  const double work = ahead.PendingMillis + MillisPerRunning * ahead.Running +
                      prefillMillis(model, uncachedTokens);
  return core::Millis(std::llround(slowness(runner) * (BaseMillis + work)));
}

void PrefillForecast::onAttemptSent(std::uint64_t ticket,
                                    const core::RunnerId &runner,
                                    const std::string &model,
                                    std::uint64_t uncachedTokens,
                                    core::Millis now) {
  Sending sending;
  sending.Runner = runner;
  sending.Model = model;
  sending.Tokens = uncachedTokens;
  sending.WorkMillis = prefillMillis(model, uncachedTokens);
  sending.PredictedMillis = static_cast<double>(
      timeToFirstToken(runner, model, uncachedTokens).count());
  sending.AheadMillis = load(runner).PendingMillis;
  sending.SentAt = now;
  ServerLoad &own = Own[runner];
  own.PendingMillis += sending.WorkMillis;
  ++own.Waiting;
  Sendings.emplace(ticket, std::move(sending));
}

void PrefillForecast::onFirstToken(std::uint64_t ticket, core::Millis now) {
  const auto it = Sendings.find(ticket);
  if (it == Sendings.end() || it->second.Answered)
    return;
  Sending &sending = it->second;
  sending.Answered = true;
  sending.EventAt = now;
  ServerLoad &own = Own[sending.Runner];
  own.PendingMillis = std::max(0.0, own.PendingMillis - sending.WorkMillis);
  --own.Waiting;
  ++own.Running;
  learn(sending, static_cast<double>((now - sending.SentAt).count()));
}

void PrefillForecast::learn(const Sending &sending, double elapsed) {
  const double ratio = std::clamp(elapsed / sending.PredictedMillis, 0.1, 10.0);
  double &slowness = Slowness.try_emplace(sending.Runner, 1).first->second;
  slowness = std::clamp(slowness * std::pow(ratio, SlownessRate), LeastSlowness,
                        MostSlowness);
  // What the runner's own slowness explains teaches nothing of the model.
  const double expected = BaseMillis + sending.AheadMillis + sending.WorkMillis;
  const double error = elapsed / slowness - expected;
  const auto tokens = static_cast<double>(sending.Tokens);
  const double step = LearningRate * error * tokens /
                      (tokens * tokens + TeachingTokens * TeachingTokens);
  double &rate =
      MillisPerToken.try_emplace(sending.Model, FirstGuess).first->second;
  rate = std::clamp(rate + step, LeastMillisPerToken, MostMillisPerToken);
}

void PrefillForecast::onStreamEvents(std::uint64_t ticket, unsigned events,
                                     core::Millis now) {
  const auto it = Sendings.find(ticket);
  if (it == Sendings.end() || events == 0)
    return;
  Sending &sending = it->second;
  const double gap =
      static_cast<double>((now - sending.EventAt).count()) / events;
  sending.EventAt = now;
  Pace &pace = Paces.try_emplace(sending.Runner, Pace{FirstEventMillis, now})
                   .first->second;
  pace.EventMillis += PaceRate * (gap - pace.EventMillis);
  pace.SeenAt = now;
}

double PrefillForecast::eventIntervalMillis(const core::RunnerId &runner,
                                            core::Millis now) const {
  const auto it = Paces.find(runner);
  if (it == Paces.end())
    return FirstEventMillis;
  const auto age = static_cast<double>((now - it->second.SeenAt).count());
  const double belief = std::exp2(-age / PaceLifeMillis);
  return FirstEventMillis +
         belief * (it->second.EventMillis - FirstEventMillis);
}

void PrefillForecast::onAttemptEnded(std::uint64_t ticket) {
  const auto it = Sendings.find(ticket);
  if (it == Sendings.end())
    return;
  const Sending &sending = it->second;
  const auto own = Own.find(sending.Runner);
  if (own != Own.end()) {
    ServerLoad &load = own->second;
    if (sending.Answered) {
      --load.Running;
    } else {
      load.PendingMillis =
          std::max(0.0, load.PendingMillis - sending.WorkMillis);
      --load.Waiting;
    }
    if (load.Waiting == 0 && load.Running == 0)
      Own.erase(own);
  }
  Sendings.erase(it);
}

void PrefillForecast::setRemoteLoads(
    const core::InstanceId &gateway,
    const std::map<core::RunnerId, ServerLoad> &loads, core::Millis now) {
  Remote.insert_or_assign(gateway, RemoteLoads{loads, now});
}

void PrefillForecast::removeRemoteLoads(const core::InstanceId &gateway) {
  Remote.erase(gateway);
}

void PrefillForecast::removeRunner(const core::RunnerId &runner) {
  Slowness.erase(runner);
  Paces.erase(runner);
}

} // namespace cowslipridge::route
