#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/sidecar/SharedAnswer.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>

namespace cowslipridge::sidecar {

/// Holds the answers of keyed idempotent requests that are running on this
/// sidecar or finished recently, by request.
class KeyedAnswerCache {
public:
  static constexpr std::size_t MaxAnswers = 512;
  static constexpr std::size_t MaxTotalBytes = 4'194'304;

  /// One keyed request and its answer.
  struct Item {
    std::uint64_t BodyHash = 0; ///< a key may be used with one body only
    std::shared_ptr<SharedAnswer> Answer;
    core::Millis StartedAt; ///< monotonic
  };

  /// Returns the answer that a retry may join, or null if there is none.
  [[nodiscard]] const Item *find(const core::RequestId &request) const;
  /// Adds a new request and evicts the oldest finished answers over the limits.
  std::shared_ptr<SharedAnswer> begin(const core::RequestId &request,
                                      std::uint64_t bodyHash, core::Millis now);
  /// Removes finished answers whose request started before `startedBefore` or
  /// that a retry cannot join.
  void expire(core::Millis startedBefore);

private:
  void trim();
  [[nodiscard]] std::size_t totalBytes() const;

  std::map<core::RequestId, Item> Items;
};

} // namespace cowslipridge::sidecar
