#include "cowslipridge/rollout/KnownVersions.hpp"

namespace cowslipridge::rollout {

void KnownVersions::onReverted(const core::VersionId &version) {
  Reverted.insert(version);
  Serving.erase(version);
}

void KnownVersions::onAbandoned(const core::VersionId &version) {
  if (!serves(version))
    Abandoned.insert(version);
}

void KnownVersions::onServing(const core::VersionId &version) {
  if (!isReverted(version) && !isAbandoned(version))
    Serving.insert(version);
}

void KnownVersions::onRegistered(const Versions &versions, core::Millis now) {
  std::erase_if(RegisteredSince,
                [&](const auto &it) { return !versions.contains(it.first); });
  for (const core::VersionId &it : versions) {
    const core::Millis since = RegisteredSince.emplace(it, now).first->second;
    if (now - since >= SettledPeriod)
      onServing(it);
  }
}

KnownVersions::Versions
KnownVersions::serving(const Versions &registered) const {
  Versions present;
  for (const core::VersionId &it : Serving) {
    if (registered.contains(it))
      present.insert(it);
  }
  return present.empty() ? Serving : present;
}

} // namespace cowslipridge::rollout
