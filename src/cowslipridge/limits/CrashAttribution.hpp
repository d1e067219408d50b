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

/// An attempt that broke off before its answer or soon after the answer had
/// begun, possibly because the request crashed the runner.
struct EarlyBreak {
  core::RunnerId Runner;
  std::uint64_t Request = 0; ///< hash of the request's id
  RequestTraits Traits;      ///< those that may have crashed the runner
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
/// All answers in progress break when a runner crashes; a break beside answers
/// that go on is a lost answer and no evidence. A trait that causes
/// crashes differs from the others in two ways: it is in each crash that it
/// causes, and no answer to a request with it goes well. So a trait is blamed
/// after a number of crashes without an answer that went well in between. The
/// number rises with the share of answers that break for other reasons, while
/// another trait is in as many crashes, and if answers went well not long
/// before. Crashes that a blamed trait explains are no evidence against the
/// others; those of a blamed content count as one against its own segments.
///
/// A request that comes again with the same content may crash runners because
/// of its content or because of a segment. The segment is blamed unless answers
/// to other requests with it went well: if that is wrong, a few other requests
/// are rejected; the opposite error costs more crashes.
class CrashAttribution {
public:
  /// A crash follows the beginning of the answer that causes it within this
  /// time.
  static constexpr core::Millis MaxCrashDelay{500};

  /// An answer of this gateway began, or broke off before it began.
  void onBegun(core::Millis now);
  /// An answer went well for longer than MaxCrashDelay, or to its end.
  void onSurvived(const TraitSurvival &survival, bool isOwn);
  /// The runner went on with an answer to a request that it got at `since`. All
  /// its answers would have broken in a crash: breaks in between were none.
  void onWentOn(const core::RunnerId &runner, core::Millis since,
                core::Millis now);
  /// Records a break. Returns false if it was recorded already, or if it has no
  /// traits. `isOwn`: the answer was one of this gateway's.
  bool onBreak(const EarlyBreak &event, bool isOwn, core::Millis now);
  /// Returns a trait to blame, if the evidence suffices. Breaks count once
  /// all gateways had time to report theirs of the same crash.
  [[nodiscard]] std::optional<CrashVerdict> verdict(core::Millis now) const;
  /// Erases the breaks of all crashes that the trait explains. Of a content,
  /// its own breaks remain.
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
  /// Returns the number of traits with a recent answer that went well.
  [[nodiscard]] std::size_t survivals() const { return Survivals.size(); }
  /// Erases old evidence.
  void tick(core::Millis now);

private:
  struct Record {
    EarlyBreak Event;
    bool IsOwn = false;
    /// The event's content, once it is blamed; the event has none then.
    std::uint64_t BlamedContent = 0;
    bool IsDismissed = false; ///< the runner did not crash
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

  /// Returns whether two breaks of requests with a trait of this kind count as
  /// one crash.
  static bool isSameCrash(const Record &first, const Record &second,
                          TraitKind kind);
  /// Erases the breaks of explained crashes.
  void eraseExplained();
  /// Returns the breaks up to `until` since the last answer that went well.
  [[nodiscard]] std::vector<const Record *>
  breaksSinceSurvival(const RequestTrait &trait, core::Millis until) const;
  [[nodiscard]] Evidence evidence(const RequestTrait &trait,
                                  core::Millis until) const;
  /// Returns a trait of this kind to blame for breaks up to `until`.
  [[nodiscard]] std::optional<CrashVerdict> verdictOn(TraitKind kind,
                                                      core::Millis until) const;
  /// Returns the traits of this kind of the breaks between these times, with
  /// their last position in a list of traits. Leaves out those in too few
  /// breaks for a verdict.
  [[nodiscard]] std::map<RequestTrait, std::size_t>
  traitsBetween(TraitKind kind, core::Millis from, core::Millis until) const;
  [[nodiscard]] std::size_t countBreaks(const RequestTrait &trait) const;
  /// Returns the share of recent answers at this gateway that broke without the
  /// trait.
  [[nodiscard]] double breakShareWithout(const RequestTrait &trait) const;
  /// Returns the number of crashes in a row that has at most this probability
  /// by chance, at least `min`.
  [[nodiscard]] std::size_t crashesNeeded(const RequestTrait &trait,
                                          double probability,
                                          std::size_t min) const;
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
