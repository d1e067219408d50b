#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/limits/RequestTrait.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cowslipridge::limits {

/// An answer that broke off soon after it had begun, possibly because the
/// request crashed the runner.
struct EarlyBreak {
  core::RunnerId Runner;
  std::uint64_t Request = 0; ///< hash of the request's id
  RequestTraits Traits;      ///< that may have crashed the runner
  core::Millis At;
  friend auto operator<=>(const EarlyBreak &, const EarlyBreak &) = default;
};

/// The evidence on which a trait is blamed for crashes.
struct CrashVerdict {
  RequestTrait Trait;
  std::size_t Crashes = 0;
  std::size_t Requests = 0;
  friend auto operator<=>(const CrashVerdict &, const CrashVerdict &) = default;
};

/// The last answer that went well to a request with this trait.
struct TraitSurvival {
  RequestTrait Trait;
  core::Millis At;
  friend auto operator<=>(const TraitSurvival &,
                          const TraitSurvival &) = default;
};

/// Finds what crashes runners, among the traits that requests share.
///
/// All answers in progress break when a runner crashes. A trait that causes
/// crashes differs from the others in two ways: it is in each crash that it
/// causes, and no answer to a request with it goes well. So a trait is blamed
/// after a number of crashes without an answer that went well in between. The
/// number rises with the share of answers that break for other reasons, while
/// another trait is in as many crashes, and if answers went well not long
/// before. Crashes that a blamed trait explains are no evidence against the
/// others.
class CrashAttribution {
public:
  /// A crash follows the beginning of the answer that causes it within this
  /// time.
  static constexpr core::Millis MaxCrashDelay{500};

  /// An answer of this gateway began.
  void onBegun(core::Millis now);
  /// An answer went well for longer than MaxCrashDelay, or to its end.
  void onSurvived(const TraitSurvival &survival, bool isOwn);
  /// Records a break. Returns false if it was recorded already, or if it has no
  /// traits. `isOwn`: the answer was one of this gateway's.
  bool onBreak(const EarlyBreak &event, bool isOwn, core::Millis now);
  /// Returns a trait to blame, if the evidence suffices. Breaks count once
  /// all gateways had time to report theirs of the same crash.
  [[nodiscard]] std::optional<CrashVerdict> verdict(core::Millis now) const;
  /// Erases the breaks of all crashes that the trait explains.
  void onBlamed(const RequestTrait &trait);
  /// An answer broke whose request has a trait that was blamed already: the
  /// other breaks of that crash are no evidence.
  void onExplained(const EarlyBreak &event);
  /// Returns whether one of the traits has crashed runners repeatedly, so that
  /// the request should not be sent to another one.
  [[nodiscard]] bool isSuspect(const RequestTraits &traits,
                               core::Millis now) const;
  /// Returns the survivals at this gateway since then, of traits with a
  /// recorded break.
  [[nodiscard]] std::vector<TraitSurvival>
  ownSurvivalsSince(core::Millis since) const;
  /// Erases old evidence.
  void tick(core::Millis now);

private:
  struct Record {
    EarlyBreak Event;
    bool IsOwn = false;
  };
  /// A crash whose cause is known.
  struct ExplainedCrash {
    core::RunnerId Runner;
    core::Millis At;
  };
  struct Survival {
    core::Millis At;
    bool IsOwn = false;
  };
  struct Evidence {
    std::size_t Crashes = 0;
    std::size_t Requests = 0;
  };

  /// Returns the breaks up to `until` since the last answer that went well.
  [[nodiscard]] std::vector<const Record *>
  breaksSinceSurvival(const RequestTrait &trait, core::Millis until) const;
  [[nodiscard]] Evidence evidence(const RequestTrait &trait,
                                  core::Millis until) const;
  /// Returns the traits of the breaks between these times, with their last
  /// position in a list of traits.
  [[nodiscard]] std::map<RequestTrait, std::size_t>
  traitsBetween(core::Millis from, core::Millis until) const;
  [[nodiscard]] std::size_t crashesNeeded(const RequestTrait &trait) const;
  [[nodiscard]] bool hasSurvived(const RequestTrait &trait) const {
    return Survivals.contains(trait);
  }
  [[nodiscard]] bool isKnown(const RequestTrait &trait) const;

  [[nodiscard]] bool isExplained(const EarlyBreak &event) const;

  std::deque<Record> Breaks;
  std::deque<ExplainedCrash> Explained;
  std::deque<core::Millis> Begun;
  std::map<RequestTrait, Survival> Survivals;
  core::Millis PrunedAt;
};

} // namespace cowslipridge::limits
