#include "cowslipridge/limits/OrganisationShares.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::limits {

namespace {

constexpr core::Millis RecentPeriod{10'000};
/// Much longer than a burst, so that a burst does not count as usual.
constexpr core::Millis UsualPeriod{300'000};
constexpr double MaxUsualFactor = 2;
/// Decayed work below this is none.
constexpr double NoWorkMillis = 1;

} // namespace

double OrganisationShares::DecayingSum::at(core::Millis period,
                                           core::Millis now) const {
  return Value * std::exp(-static_cast<double>((now - At).count()) /
                          static_cast<double>(period.count()));
}

void OrganisationShares::DecayingSum::add(double addend, core::Millis period,
                                          core::Millis now) {
  Value = at(period, now) + addend;
  At = now;
}

void OrganisationShares::record(const core::OrganisationId &organisation,
                                double workMillis, bool scarce,
                                core::Millis now) {
  for (Work *it : {&Works[organisation], &Total}) {
    it->Recent.add(workMillis, RecentPeriod, now);
    if (!scarce)
      it->Usual.add(workMillis, UsualPeriod, now);
  }
}

bool OrganisationShares::isOver(const core::OrganisationId &organisation,
                                core::Millis now) const {
  const auto known = Works.find(organisation);
  const double all = Total.Recent.at(RecentPeriod, now);
  const double usualOfAll = Total.Usual.at(UsualPeriod, now);
  if (known == Works.end() || all < NoWorkMillis || usualOfAll < NoWorkMillis)
    return false;
  const auto active =
      std::count_if(Works.begin(), Works.end(), [&](const auto &it) {
        return it.second.Recent.at(RecentPeriod, now) >= NoWorkMillis;
      });
  const double part = known->second.Recent.at(RecentPeriod, now) / all;
  const double usual = known->second.Usual.at(UsualPeriod, now) / usualOfAll;
  return part > MaxUsualFactor * usual &&
         part * static_cast<double>(active) > 1;
}

void OrganisationShares::tick(core::Millis now) {
  std::erase_if(Works, [&](const auto &it) {
    return it.second.Usual.at(UsualPeriod, now) < NoWorkMillis &&
           it.second.Recent.at(RecentPeriod, now) < NoWorkMillis;
  });
}

} // namespace cowslipridge::limits
