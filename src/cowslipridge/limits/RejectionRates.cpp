#include "cowslipridge/limits/RejectionRates.hpp"

#include <cmath>

namespace cowslipridge::limits {

namespace {

/// Weight of an outcome in the exponential moving average.
constexpr double Gain = 0.3;
/// Half-life of an estimate without further outcomes: by then, the runner is
/// tried again.
constexpr double HalfLifeMillis = 3'000;
constexpr double NegligibleRate = 0.01;

} // namespace

void RejectionRates::onAccepted(const core::RunnerId &runner,
                                core::Millis now) {
  if (!Rates.contains(runner))
    return;
  observe(runner, 0, now);
  if (rate(runner, now) < NegligibleRate)
    Rates.erase(runner);
}

double RejectionRates::rate(const core::RunnerId &runner,
                            core::Millis now) const {
  const auto it = Rates.find(runner);
  if (it == Rates.end())
    return 0;
  const auto age = static_cast<double>((now - it->second.UpdatedAt).count());
  return it->second.Mean * std::exp2(-age / HalfLifeMillis);
}

void RejectionRates::observe(const core::RunnerId &runner, double rejected,
                             core::Millis now) {
  const double before = rate(runner, now);
  Rates[runner] = {before + Gain * (rejected - before), now};
}

} // namespace cowslipridge::limits
