#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace cowslipridge::gateway {

/// What became of all requests with one id so far. They are one request, which
/// its caller has sent more than once.
struct EarlierAttempts {
  bool HasArrived = false; ///< at a runner
  bool MayHaveRun = false;
  unsigned Made = 0; ///< attempts that may have run
  friend auto operator<=>(const EarlierAttempts &,
                          const EarlierAttempts &) = default;
};

/// Identifies a request among those of all callers.
struct RequestKey {
  core::OrganisationId Organisation; ///< empty for public routes
  core::RequestId Id;
  friend auto operator<=>(const RequestKey &, const RequestKey &) = default;
};

/// Remembers the ids of requests in progress and of those that ended lately, so
/// that a caller that sends an id again does not make the gateway send more
/// attempts than one request may have.
class RecentRequests {
public:
  /// `seed` keeps callers from choosing ids that are taken for those of others.
  explicit RecentRequests(std::uint64_t seed) : Seed(seed) {}

  /// Handles the arrival of a request. Returns what earlier requests with its
  /// id did; nothing if none is known or it has no id. While one of them is in
  /// progress, it counts as one that may have run.
  std::optional<EarlierAttempts> begin(const RequestKey &request,
                                       core::Millis now);
  /// Handles the end of a request. `attempts` are those of this request and of
  /// the ones before it.
  void end(const RequestKey &request, const EarlierAttempts &attempts,
           core::Millis now);
  /// Returns the number of ids that are remembered.
  [[nodiscard]] std::size_t size() const { return Entries.size(); }

private:
  using Hash = std::uint64_t;
  struct Entry {
    unsigned InProgress = 0;
    EarlierAttempts Attempts;
    core::Millis EndedAt;
    std::list<Hash>::iterator Position; ///< in Ended, if none is in progress
  };

  [[nodiscard]] Hash hashOf(const RequestKey &request) const;
  void expire(core::Millis now);

  const std::uint64_t Seed;
  std::unordered_map<Hash, Entry> Entries;
  std::list<Hash> Ended; ///< the first one ended first
};

} // namespace cowslipridge::gateway
