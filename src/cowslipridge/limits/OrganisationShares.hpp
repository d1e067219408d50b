#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <map>

namespace cowslipridge::limits {

/// Tracks which part of the work of one service each organisation gets, as one
/// gateway sees it. Callers are spread over gateways by a hash, so that the
/// parts are about the same at all of them.
class OrganisationShares {
public:
  /// Records work that is sent to a runner. Under scarcity it does not count as
  /// usual: a burst would raise the part that is usual while it lasts.
  void record(const core::OrganisationId &organisation, double workMillis,
              bool scarce, core::Millis now);
  /// Returns whether the organisation gets more than twice its usual part of
  /// the work and more than an equal part.
  [[nodiscard]] bool isOver(const core::OrganisationId &organisation,
                            core::Millis now) const;
  /// Erases organisations without any work in their usual period.
  void tick(core::Millis now);
  [[nodiscard]] std::size_t size() const { return Works.size(); }

private:
  /// A sum whose addends lose weight exponentially with their age.
  struct DecayingSum {
    double Value = 0;
    core::Millis At;
    void add(double addend, core::Millis period, core::Millis now);
    [[nodiscard]] double at(core::Millis period, core::Millis now) const;
  };
  struct Work {
    DecayingSum Recent;
    DecayingSum Usual;
  };

  std::map<core::OrganisationId, Work> Works;
  Work Total;
};

} // namespace cowslipridge::limits
