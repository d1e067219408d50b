#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace cowslipridge::limits {

enum class TraitKind {
  PromptSegment, ///< a segment of the prompt
  Content,       ///< the whole request
};

/// Something that requests to one service may share, and that may crash its
/// runners.
struct RequestTrait {
  core::ServiceId Service;
  std::uint64_t Id = 0; ///< of the segment, or the digest of the content
  TraitKind Kind = TraitKind::PromptSegment;
  friend auto operator<=>(const RequestTrait &, const RequestTrait &) = default;
};

/// The traits of one request.
struct RequestTraits {
  core::ServiceId Service;
  /// The segments that other requests may share, in the prompt's order.
  std::vector<std::uint64_t> Segments;
  std::uint64_t Content = 0; ///< 0: unknown

  [[nodiscard]] bool isEmpty() const {
    return Segments.empty() && Content == 0;
  }
  [[nodiscard]] bool contains(const RequestTrait &trait) const;
  /// Returns all traits; each one is in no more requests than those before it
  /// are expected to be.
  [[nodiscard]] std::vector<RequestTrait> list() const;
  friend auto operator<=>(const RequestTraits &,
                          const RequestTraits &) = default;
};

} // namespace cowslipridge::limits
