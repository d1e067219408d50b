#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/sidecar/SharedAnswer.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>

namespace cowslipridge::sidecar {

/// The answers of keyed idempotent requests that are running here or were
/// finished lately, by request.
class KeyedAnswerCache {
public:
  static constexpr std::size_t MaxAnswers = 512;
  static constexpr std::size_t MaxTotalBytes = 4'194'304;

  /// One keyed request and its answer.
  struct Item {
    std::uint64_t BodyHash = 0; ///< a key names one body only
    std::shared_ptr<SharedAnswer> Answer;
    core::Millis BegunAt; ///< monotonic
  };

  /// The answer that a retry may join; null when there is none.
  [[nodiscard]] const Item *find(const core::RequestId &request) const;
  /// Records a new request, and drops old ones that are over the limits.
  std::shared_ptr<SharedAnswer> begin(const core::RequestId &request,
                                      std::uint64_t bodyHash, core::Millis now);
  /// Drops finished answers that began before `since`.
  void expire(core::Millis since);

private:
  void trim();
  [[nodiscard]] std::size_t totalBytes() const;

  std::map<core::RequestId, Item> Items;
};

} // namespace cowslipridge::sidecar
