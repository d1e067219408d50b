#pragma once

#include "cowslipridge/gateway/Placement.hpp"
#include "cowslipridge/limits/CrashAttribution.hpp"
#include "cowslipridge/limits/TraitQuarantine.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cowslipridge::gateway {

/// What one gateway tells its peers about requests that crash runners. All
/// times are of the sender's clock.
struct CrashReport {
  core::Millis SentAt;
  std::vector<limits::EarlyBreak> Breaks;
  std::vector<limits::TraitSurvival> Survivals;
  std::vector<limits::QuarantinedTrait> Quarantined;
};

/// A trait that this gateway has begun to quarantine.
struct QuarantineStart {
  limits::QuarantinedTrait Quarantined;
  // The evidence; 0 if a peer or the store names the trait.
  std::size_t Crashes = 0;
  std::size_t Requests = 0;

  [[nodiscard]] bool isOwnDecision() const { return Crashes > 0; }
};

using QuarantineListener = std::function<void(const QuarantineStart &)>;

/// Watches the attempts of this gateway for traits of requests that crash
/// runners, shares what it sees with the peers, and keeps requests with such a
/// trait from the runners.
class CrashWatch {
public:
  /// The listener is called for each trait that is quarantined.
  void setListener(QuarantineListener listener) {
    OnQuarantine = std::move(listener);
  }
  void onSent(std::uint64_t ticket, const core::ServiceId &service,
              const core::RunnerId &runner, const CallerRequest &caller,
              core::Millis now);
  /// The answer began.
  void onBegun(std::uint64_t ticket, core::Millis now);
  /// The answer goes on.
  void onEvents(std::uint64_t ticket, core::Millis now);
  void onEnded(std::uint64_t ticket, AttemptOutcome outcome, core::Millis now);

  /// Returns the reason why the request must not be sent to a runner, if there
  /// is one.
  [[nodiscard]] std::optional<NoPlacement>
  refusal(const CallerRequest &caller, const core::ServiceId &service,
          AttemptKind kind, core::Millis now) const;
  /// Adds a trait that a peer or the store names.
  void adopt(const limits::QuarantinedTrait &trait, core::Millis now);

  /// Returns the recent evidence and the quarantined traits.
  [[nodiscard]] CrashReport report(core::Millis now) const;
  /// Handles the report of a peer.
  void onPeerReport(const CrashReport &report, core::Millis now);
  /// Returns the number of quarantined traits of this kind.
  [[nodiscard]] std::size_t quarantined(limits::TraitKind kind) const {
    return Quarantine.count(kind);
  }
  void tick(core::Millis now);

private:
  struct Attempt {
    core::RunnerId Runner;
    std::uint64_t Request = 0; ///< hash of the request's id
    limits::RequestTraits Traits;
    core::Millis SentAt;
    core::Millis BegunAt;
    bool Begun = false;
    bool Survived = false;
  };

  void onBroken(const Attempt &attempt, core::Millis now);
  void onBrokenBeforeAnswer(Attempt attempt, core::Millis now);
  void blameCancelled(const core::RunnerId &runner, core::Millis brokenAt);
  void onSurvived(const limits::RequestTraits &traits, core::Millis now);
  void record(const limits::EarlyBreak &event, bool isOwn, core::Millis now);
  void applyVerdicts(core::Millis now);

  QuarantineListener OnQuarantine;
  limits::CrashAttribution Attribution;
  limits::TraitQuarantine Quarantine;
  std::unordered_map<std::uint64_t, Attempt> Attempts;
  /// Attempts that this gateway cancelled shortly after their answer began;
  /// their runner may still crash.
  std::deque<Attempt> Cancelled;
  std::deque<limits::EarlyBreak> OwnBreaks; ///< that are still reported
};

} // namespace cowslipridge::gateway
