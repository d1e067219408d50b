#include "cowslipridge/limits/ServedShares.hpp"

#include <cmath>

namespace cowslipridge::limits {

namespace {

constexpr double PeriodMillis = 10'000;
/// Decayed number of requests below which a key is erased.
constexpr double NoRequests = 0.01;
/// Served requests that are assumed beside the recorded ones, so that the first
/// one that is not served does not make a share of 0.
constexpr double AssumedServed = 0.5;

} // namespace

ServedShares::Counts ServedShares::decayed(const Counts &counts,
                                           core::Millis now) {
  const double weight =
      std::exp(-static_cast<double>((now - counts.At).count()) / PeriodMillis);
  return {counts.Served * weight, counts.Ended * weight, now};
}

void ServedShares::record(const std::string &key, bool served,
                          core::Millis now) {
  Counts &counts = ByKey[key];
  counts = decayed(counts, now);
  counts.Ended += 1;
  counts.Served += served ? 1 : 0;
}

double ServedShares::share(const std::string &key, core::Millis now) const {
  const auto known = ByKey.find(key);
  if (known == ByKey.end())
    return 1;
  const Counts counts = decayed(known->second, now);
  return (counts.Served + AssumedServed) / (counts.Ended + AssumedServed);
}

void ServedShares::tick(core::Millis now) {
  std::erase_if(ByKey, [&](const auto &it) {
    return decayed(it.second, now).Ended < NoRequests;
  });
}

} // namespace cowslipridge::limits
