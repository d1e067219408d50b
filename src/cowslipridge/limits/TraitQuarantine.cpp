#include "cowslipridge/limits/TraitQuarantine.hpp"

#include <algorithm>

namespace cowslipridge::limits {

namespace {

constexpr core::Millis MinAdopted{60'000};

} // namespace

bool TraitQuarantine::add(const RequestTrait &trait, core::Millis now) {
  return Until.emplace(trait, now + Duration).second;
}

bool TraitQuarantine::adopt(const QuarantinedTrait &other, core::Millis now) {
  if (other.Remaining < MinAdopted)
    return false;
  return Until.emplace(other.Trait, now + std::min(other.Remaining, Duration))
      .second;
}

std::optional<QuarantinedTrait>
TraitQuarantine::find(const RequestTraits &traits, core::Millis now) const {
  std::optional<QuarantinedTrait> found;
  if (Until.empty())
    return found;
  for (const RequestTrait &it : traits.list()) {
    const auto entry = Until.find(it);
    if (entry == Until.end() || entry->second <= now)
      continue;
    if (!found || found->Remaining < entry->second - now)
      found = {entry->first, entry->second - now};
  }
  return found;
}

std::vector<QuarantinedTrait> TraitQuarantine::list(std::size_t max,
                                                    core::Millis now) const {
  std::vector<QuarantinedTrait> all;
  for (const auto &[trait, until] : Until) {
    if (until > now)
      all.push_back({trait, until - now});
  }
  std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
    return a.Remaining > b.Remaining;
  });
  if (all.size() > max)
    all.resize(max);
  return all;
}

std::size_t TraitQuarantine::count(TraitKind kind) const {
  return static_cast<std::size_t>(
      std::count_if(Until.begin(), Until.end(),
                    [&](const auto &it) { return it.first.Kind == kind; }));
}

void TraitQuarantine::tick(core::Millis now) {
  std::erase_if(Until, [&](const auto &it) { return it.second <= now; });
}

} // namespace cowslipridge::limits
