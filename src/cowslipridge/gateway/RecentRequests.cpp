#include "cowslipridge/gateway/RecentRequests.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cowslipridge::gateway {

namespace {

/// Longer than callers wait for a request, with all their retries.
constexpr core::Millis RememberedFor{30'000};
/// Bounds the memory for requests that have ended to about 2 MB.
constexpr std::size_t MaxEnded = 16'384;

} // namespace

RecentRequests::Hash RecentRequests::hashOf(const RequestKey &request) const {
  const std::string &organisation = request.Organisation.str();
  const std::string &id = request.Id.str();
  const Hash scope =
      XXH3_64bits_withSeed(organisation.data(), organisation.size(), Seed);
  return XXH3_64bits_withSeed(id.data(), id.size(), scope);
}

std::optional<EarlierAttempts> RecentRequests::begin(const RequestKey &request,
                                                     core::Millis now) {
  expire(now);
  if (request.Id.empty())
    return std::nullopt;
  const auto [it, isNew] = Entries.try_emplace(hashOf(request));
  Entry &entry = it->second;
  const bool isInProgress = entry.InProgress++ > 0;
  if (isNew)
    return std::nullopt;
  EarlierAttempts earlier = entry.Attempts;
  if (isInProgress)
    earlier.HasArrived = earlier.MayHaveRun = true;
  else
    Ended.erase(entry.Position);
  return earlier;
}

void RecentRequests::end(const RequestKey &request,
                         const EarlierAttempts &attempts, core::Millis now) {
  const auto it = Entries.find(hashOf(request));
  if (it == Entries.end())
    return;
  Entry &entry = it->second;
  EarlierAttempts &all = entry.Attempts;
  all.HasArrived = all.HasArrived || attempts.HasArrived;
  all.MayHaveRun = all.MayHaveRun || attempts.MayHaveRun;
  all.Made = std::max(all.Made, attempts.Made);
  if (--entry.InProgress > 0)
    return;
  entry.EndedAt = now;
  entry.Position = Ended.insert(Ended.end(), it->first);
}

void RecentRequests::expire(core::Millis now) {
  while (!Ended.empty()) {
    const auto oldest = Entries.find(Ended.front());
    const bool isOld = now - oldest->second.EndedAt > RememberedFor;
    if (!isOld && Ended.size() <= MaxEnded)
      return;
    Entries.erase(oldest);
    Ended.pop_front();
  }
}

} // namespace cowslipridge::gateway
