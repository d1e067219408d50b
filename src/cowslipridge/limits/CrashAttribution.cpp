#include "cowslipridge/limits/CrashAttribution.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace cowslipridge::limits {

namespace {

constexpr core::Millis EvidenceLifetime{600'000};
constexpr std::size_t MaxBreaks = 400;
/// Bounds the memory for answers that went well to ever new requests.
constexpr std::size_t MaxSurvivals = 10'000;
/// How long answers that went well speak for a trait without recorded breaks.
constexpr core::Millis SurvivalLifetime{60'000};
constexpr core::Millis PruneInterval{1'000};
/// Time over which the share of answers that break for other reasons is taken.
constexpr core::Millis BackgroundWindow{20'000};
/// Breaks within this time count as one crash: the loss of a rack or a failure
/// domain breaks answers at many runners at once.
constexpr core::Millis CrashSpan{150};
/// Time for answers that began before the crash to go well, and for the peers
/// to report theirs.
constexpr core::Millis SettleTime{1'000};
/// Later evidence may still decide on a break for this time.
constexpr core::Millis JudgementTime{5'000};

constexpr std::size_t CrashesOfSuspectSegment = 2;
/// A request that is retried is not suspect because of its own attempts alone:
/// its route bounds them.
constexpr std::size_t CrashesOfSuspectContent = 3;
constexpr std::size_t MinCrashes = 3;
/// Requests with a blamed segment; one is enough to blame a content.
constexpr std::size_t MinRequestsOfSegment = 2;
/// Further crashes that are needed while another trait is in as many.
constexpr std::size_t CrashesToBreakTie = 2;
/// Further crashes that are needed if answers went well not long before.
constexpr std::size_t CrashesAfterSurvival = 2;
/// Accepted probability that a trait without influence is in all crashes of a
/// series by chance.
constexpr double FalseAlarmProbability = 1e-5;
/// The same for a request that is not retried.
constexpr double FalseSuspicionProbability = 1e-3;
/// Without evidence, the share of answers that break for other reasons is
/// PriorBreaks of PriorAnswers.
constexpr double PriorAnswers = 50;
constexpr double PriorBreaks = 0.5;
constexpr double MaxBreakShare = 0.99;

bool isSameTime(core::Millis first, core::Millis second) {
  return second - first <= CrashSpan && first - second <= CrashSpan;
}

} // namespace

void CrashAttribution::onBegun(core::Millis now) {
  Begun.push_back(now);
  while (now - Begun.front() > BackgroundWindow)
    Begun.pop_front();
}

void CrashAttribution::onWentOn(const core::RunnerId &runner,
                                core::Millis since, core::Millis now) {
  for (Record &it : Breaks) {
    const bool isBetween = it.Event.At > since && now - it.Event.At > CrashSpan;
    if (it.Event.Runner == runner && isBetween)
      it.IsDismissed = true;
  }
}

bool CrashAttribution::isKnown(const RequestTrait &trait) const {
  return std::any_of(Breaks.begin(), Breaks.end(), [&](const Record &it) {
    return it.Event.Traits.contains(trait);
  });
}

void CrashAttribution::onSurvived(const TraitSurvival &survival, bool isOwn) {
  if (Survivals.size() >= MaxSurvivals && !isKnown(survival.Trait))
    return;
  Survival &last = Survivals[survival.Trait];
  if (last.At < survival.At)
    last = {survival.At, isOwn};
}

std::vector<TraitSurvival>
CrashAttribution::ownSurvivalsSince(core::Millis since) const {
  std::vector<TraitSurvival> found;
  if (Breaks.empty())
    return found;
  for (const auto &[trait, survival] : Survivals) {
    if (survival.IsOwn && survival.At >= since && isKnown(trait))
      found.push_back({trait, survival.At});
  }
  return found;
}

std::vector<const CrashAttribution::Record *>
CrashAttribution::breaksSinceSurvival(const RequestTrait &trait,
                                      core::Millis until) const {
  const auto survival = Survivals.find(trait);
  std::vector<const Record *> found;
  for (const Record &it : Breaks) {
    const bool isOpen =
        !it.IsDismissed && it.Event.At <= until &&
        (survival == Survivals.end() || it.Event.At > survival->second.At);
    if (isOpen && it.Event.Traits.contains(trait))
      found.push_back(&it);
  }
  std::sort(found.begin(), found.end(), [](const auto *a, const auto *b) {
    return a->Event.At < b->Event.At;
  });
  return found;
}

// The loss of a rack breaks answers at many runners at once, and a segment is
// in many of them. A content is in one request at one runner, so that its
// breaks at several runners are as many crashes.
bool CrashAttribution::isSameCrash(const Record &first, const Record &second,
                                   TraitKind kind) {
  const bool isSegment = kind == TraitKind::PromptSegment;
  const bool isSameBlamedContent =
      first.BlamedContent != 0 && first.BlamedContent == second.BlamedContent;
  return (isSegment && isSameBlamedContent) ||
         (isSameTime(first.Event.At, second.Event.At) &&
          (isSegment || first.Event.Runner == second.Event.Runner));
}

CrashAttribution::Evidence
CrashAttribution::evidence(const RequestTrait &trait,
                           core::Millis until) const {
  std::vector<const Record *> crashes; // the first break of each
  std::set<std::uint64_t> requests;
  for (const Record *record : breaksSinceSurvival(trait, until)) {
    requests.insert(record->Event.Request);
    const bool isKnown =
        std::any_of(crashes.begin(), crashes.end(), [&](const auto *it) {
          return isSameCrash(*it, *record, trait.Kind);
        });
    if (!isKnown)
      crashes.push_back(record);
  }
  return {crashes.size(), requests.size()};
}

double CrashAttribution::breakShareWithout(const RequestTrait &trait) const {
  std::vector<const EarlyBreak *> explained;
  for (const Record &it : Breaks) {
    if (!it.IsDismissed && it.Event.Traits.contains(trait))
      explained.push_back(&it.Event);
  }
  double breaks = PriorBreaks;
  for (const Record &it : Breaks) {
    const bool isRecent =
        !Begun.empty() && it.Event.At >= Begun.back() - BackgroundWindow;
    const bool isExplained = std::any_of(
        explained.begin(), explained.end(), [&](const EarlyBreak *other) {
          return other->Runner == it.Event.Runner &&
                 isSameTime(other->At, it.Event.At);
        });
    if (it.IsOwn && isRecent && !isExplained)
      ++breaks;
  }
  const double answers = PriorAnswers + static_cast<double>(Begun.size());
  return std::min(breaks / answers, MaxBreakShare);
}

// The probability that n answers in a row break by chance is the n-th power of
// the share of answers that break without the trait.
std::size_t CrashAttribution::crashesNeeded(const RequestTrait &trait,
                                            double probability,
                                            std::size_t min) const {
  const double needed =
      std::ceil(std::log(probability) / std::log(breakShareWithout(trait)));
  return std::max(min, static_cast<std::size_t>(needed)) +
         (hasSurvived(trait) ? CrashesAfterSurvival : 0);
}

bool CrashAttribution::onBreak(const EarlyBreak &event, bool isOwn,
                               core::Millis now) {
  const bool isRepeated =
      std::any_of(Breaks.begin(), Breaks.end(), [&](const Record &it) {
        return it.Event.Request == event.Request &&
               it.Event.Runner == event.Runner;
      });
  if (isRepeated || event.Traits.isEmpty() || isExplained(event))
    return false;
  Breaks.push_back({event, isOwn});
  tick(now);
  return true;
}

std::map<RequestTrait, std::size_t>
CrashAttribution::traitsBetween(TraitKind kind, core::Millis from,
                                core::Millis until) const {
  std::map<RequestTrait, std::size_t> positions;
  for (const Record &it : Breaks) {
    if (it.IsDismissed || it.Event.At < from || it.Event.At > until)
      continue;
    std::size_t position = 0;
    for (const RequestTrait &trait : it.Event.Traits.list()) {
      if (trait.Kind != kind)
        continue;
      std::size_t &last = positions[trait];
      last = std::max(last, position++);
    }
  }
  std::erase_if(positions, [&](const auto &it) {
    return countBreaks(it.first) < MinCrashes;
  });
  return positions;
}

std::size_t CrashAttribution::countBreaks(const RequestTrait &trait) const {
  return static_cast<std::size_t>(
      std::count_if(Breaks.begin(), Breaks.end(), [&](const Record &it) {
        return !it.IsDismissed && it.Event.Traits.contains(trait);
      }));
}

std::optional<CrashVerdict> CrashAttribution::verdict(core::Millis now) const {
  const core::Millis until = now - SettleTime;
  const auto onSegment = verdictOn(TraitKind::PromptSegment, until);
  return onSegment ? onSegment : verdictOn(TraitKind::Content, until);
}

std::optional<CrashVerdict>
CrashAttribution::verdictOn(TraitKind kind, core::Millis until) const {
  // More crashes weigh most. Among equals, a trait that was answered is less
  // likely to be the cause, and a later one is in fewer requests.
  using Rank = std::tuple<std::size_t, bool, std::size_t>;
  Rank bestRank;
  CrashVerdict best;
  bool isTied = false;
  bool isUndecided = false;
  for (const auto &[trait, position] :
       traitsBetween(kind, until - JudgementTime, until)) {
    const Evidence found = evidence(trait, until);
    const Rank rank{found.Crashes, !hasSurvived(trait), position};
    const bool isBetter = rank > bestRank;
    const bool isEqual = std::get<0>(rank) == std::get<0>(bestRank) &&
                         std::get<1>(rank) == std::get<1>(bestRank);
    isTied = isEqual || (isTied && !isBetter);
    isUndecided = rank == bestRank || (isUndecided && !isBetter);
    if (!isBetter)
      continue;
    bestRank = rank;
    best = {trait, found.Crashes, found.Requests};
  }
  const std::size_t requests =
      kind == TraitKind::PromptSegment ? MinRequestsOfSegment : 1;
  if (isUndecided || best.Crashes < MinCrashes || best.Requests < requests)
    return std::nullopt;
  const std::size_t needed =
      crashesNeeded(best.Trait, FalseAlarmProbability, MinCrashes) +
      (isTied ? CrashesToBreakTie : 0);
  return best.Crashes < needed ? std::nullopt : std::optional(best);
}

void CrashAttribution::onBlamed(const RequestTrait &trait) {
  for (Record &it : Breaks) {
    if (!it.Event.Traits.contains(trait))
      continue;
    Explained.push_back({it.Event.Runner, it.Event.At});
    if (trait.Kind == TraitKind::Content)
      it.BlamedContent = std::exchange(it.Event.Traits.Content, 0);
  }
  if (trait.Kind == TraitKind::PromptSegment)
    std::erase_if(Breaks, [&](const Record &it) {
      return it.Event.Traits.contains(trait);
    });
  eraseExplained();
  Survivals.erase(trait);
}

void CrashAttribution::onExplained(const EarlyBreak &event) {
  Explained.push_back({event.Runner, event.At});
  eraseExplained();
}

void CrashAttribution::eraseExplained() {
  std::erase_if(Breaks, [&](const Record &it) {
    return it.BlamedContent == 0 && isExplained(it.Event);
  });
}

bool CrashAttribution::isExplained(const EarlyBreak &event) const {
  return std::any_of(
      Explained.begin(), Explained.end(), [&](const ExplainedCrash &it) {
        return it.Runner == event.Runner && isSameTime(it.At, event.At);
      });
}

bool CrashAttribution::isSuspect(const RequestTraits &traits,
                                 core::Millis now) const {
  if (Breaks.empty())
    return false;
  const std::vector<RequestTrait> all = traits.list();
  return std::any_of(all.begin(), all.end(), [&](const RequestTrait &it) {
    const std::size_t min = it.Kind == TraitKind::Content
                                ? CrashesOfSuspectContent
                                : CrashesOfSuspectSegment;
    const std::size_t crashes = evidence(it, now).Crashes;
    return crashes >= min &&
           crashes >= crashesNeeded(it, FalseSuspicionProbability, min);
  });
}

void CrashAttribution::tick(core::Millis now) {
  while (!Breaks.empty() && (Breaks.size() > MaxBreaks ||
                             now - Breaks.front().Event.At > EvidenceLifetime))
    Breaks.pop_front();
  while (!Explained.empty() && now - Explained.front().At > JudgementTime)
    Explained.pop_front();
  if (now - PrunedAt < PruneInterval)
    return;
  PrunedAt = now;
  std::erase_if(Survivals, [&](const auto &it) {
    return now - it.second.At > SurvivalLifetime && !isKnown(it.first);
  });
}

} // namespace cowslipridge::limits
