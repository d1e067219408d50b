#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/limits/RequestTrait.hpp"

#include <map>
#include <optional>
#include <vector>

namespace cowslipridge::limits {

/// A trait and how much longer requests with it are rejected.
struct QuarantinedTrait {
  RequestTrait Trait;
  core::Millis Remaining;
  friend auto operator<=>(const QuarantinedTrait &,
                          const QuarantinedTrait &) = default;
};

/// The requests that are kept from runners for some time, by their traits.
class TraitQuarantine {
public:
  static constexpr core::Millis Duration{600'000};

  /// Returns false if the trait was quarantined already.
  bool add(const RequestTrait &trait, core::Millis now);
  /// Adds a trait that another gateway quarantined. Returns false if it was
  /// known, or if too little of its time is left to copy it: gateways that
  /// copied it from each other would otherwise never release it.
  bool adopt(const QuarantinedTrait &other, core::Millis now);
  /// Returns the quarantined one of the traits that is released last.
  [[nodiscard]] std::optional<QuarantinedTrait>
  find(const RequestTraits &traits, core::Millis now) const;
  /// Returns the quarantined traits, the last released ones first; at most
  /// `max`.
  [[nodiscard]] std::vector<QuarantinedTrait> list(std::size_t max,
                                                   core::Millis now) const;
  [[nodiscard]] std::size_t size() const { return Until.size(); }
  /// Returns the number of quarantined traits of this kind.
  [[nodiscard]] std::size_t count(TraitKind kind) const;
  /// Releases traits whose time is over.
  void tick(core::Millis now);

private:
  std::map<RequestTrait, core::Millis> Until;
};

} // namespace cowslipridge::limits
