#include "cowslipridge/http1/internal/Eviction.hpp"

#include <compare>
#include <cstdint>

namespace cowslipridge::http1::internal {

namespace {

/// Time without progress after which a client is stalled.
constexpr core::Millis StallTime{500};

/// The order in which connections lose their places: a higher rank first, then
/// the longer time without progress.
struct PlacePriority {
  int Rank = 0;
  core::Millis WithoutProgress;
  friend auto operator<=>(const PlacePriority &,
                          const PlacePriority &) = default;
};

int rankOf(const ConnectionState &state) {
  constexpr int Last = 0;
  constexpr int IdleRank = 1;
  constexpr int StalledRank = 2;
  constexpr int ClosingRank = 3;
  if (state.What == Occupation::Closing)
    return ClosingRank;
  if (isStalled(state))
    return StalledRank;
  return state.What == Occupation::Idle ? IdleRank : Last;
}

double bytesByAge(const ConnectionState &state) {
  const core::Millis age = state.Age + core::Millis(1);
  return static_cast<double>(state.HeldBytes) *
         static_cast<double>(age.count());
}

// A response that its client reads is not cut off.
bool isClosable(const ConnectionState &state) {
  return state.What != Occupation::Serving &&
         (state.What != Occupation::Unread || isStalled(state));
}

// Returns the index of the element with the highest priority, of those that may
// be closed and hold `minBytes`.
template <typename Priority>
std::optional<std::size_t> highest(const std::vector<ConnectionState> &all,
                                   std::size_t minBytes,
                                   const Priority &priorityOf) {
  std::optional<std::size_t> chosen;
  for (std::size_t n = 0; n < all.size(); ++n) {
    const bool isCandidate = isClosable(all[n]) && all[n].HeldBytes >= minBytes;
    if (isCandidate &&
        (!chosen || priorityOf(all[n]) > priorityOf(all[*chosen])))
      chosen = n;
  }
  return chosen;
}

} // namespace

bool isStalled(const ConnectionState &state) {
  const bool isWaitedFor =
      state.What == Occupation::Receiving || state.What == Occupation::Unread;
  return isWaitedFor && state.WithoutProgress >= StallTime;
}

std::optional<std::size_t>
chooseForPlace(const std::vector<ConnectionState> &all) {
  return highest(all, 0, [](const ConnectionState &it) {
    return PlacePriority{rankOf(it), it.WithoutProgress};
  });
}

std::optional<std::size_t>
chooseForBytes(const std::vector<ConnectionState> &all, std::size_t minBytes) {
  return highest(all, minBytes, bytesByAge);
}

} // namespace cowslipridge::http1::internal
