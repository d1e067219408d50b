#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/observe/CauseInference.hpp"
#include "cowslipridge/observe/EventCodec.hpp"
#include "cowslipridge/observe/TimelineMerge.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace cowslipridge;
using namespace cowslipridge::observe;

namespace {

constexpr int CaseCount = 10'000;
/// Largest clock skew of a process in milliseconds.
constexpr std::int64_t MaxSkewMs = 5'000;

/// Randomly generated events of up to 4 processes whose clocks differ; about
/// half of the events have an earlier event as their cause.
class RandomEventSequence {
public:
  explicit RandomEventSequence(std::uint64_t seed) : Random(seed) {
    const std::size_t processes = 1 + randomIndex(4);
    for (std::size_t n = 0; n < processes; ++n)
      Skews.push_back(static_cast<std::int64_t>(randomIndex(2 * MaxSkewMs)) -
                      MaxSkewMs);
    Sequences.resize(processes);
    for (std::size_t n = 0; n < 40; ++n)
      addEvent(static_cast<std::int64_t>(n) * 10);
  }

  /// Returns the events in random order, with some missing and some duplicated.
  std::vector<Event> shuffledWithLossAndDuplicates() {
    std::vector<Event> events;
    for (const Event &it : Events) {
      if (randomIndex(20) != 0)
        events.push_back(it);
      if (randomIndex(20) == 0)
        events.push_back(it);
    }
    std::shuffle(events.begin(), events.end(), Random);
    return events;
  }

private:
  std::size_t randomIndex(std::size_t size) {
    return core::uniformIndex(Random, size);
  }

  void addEvent(std::int64_t now) {
    const std::size_t n = randomIndex(Skews.size());
    Event event;
    event.Number = EventNumber::RunStarted;
    event.Instance = core::InstanceId("i" + std::to_string(n));
    event.Start = core::Incarnation(1);
    event.Sequence = ++Sequences[n];
    event.At = core::Millis(100'000 + now + Skews[n]);
    if (!Events.empty() && randomIndex(2) == 0)
      event.Cause = eventIdOf(Events[randomIndex(Events.size())]);
    Events.push_back(event);
  }

  core::Random Random;
  std::vector<std::int64_t> Skews;
  std::vector<std::uint64_t> Sequences;
  std::vector<Event> Events;
};

std::map<std::string, std::size_t>
positionsOf(const std::vector<Event> &events) {
  std::map<std::string, std::size_t> positions;
  for (std::size_t n = 0; n < events.size(); ++n)
    positions[eventIdOf(events[n])] = n;
  return positions;
}

TEST(TimelineProperties, causesPrecedeEffectsUnderAnyClockSkew) {
  support::expectHolds(CaseCount, [] {
    RandomEventSequence sequence(*rc::gen::arbitrary<std::uint64_t>());
    const auto events = sequence.shuffledWithLossAndDuplicates();
    const auto merged = mergeTimeline(events);
    const auto positions = positionsOf(merged);
    RC_ASSERT(positions.size() == merged.size());
    RC_ASSERT(positions.size() == positionsOf(events).size());
    std::map<core::InstanceId, std::uint64_t> last;
    for (std::size_t n = 0; n < merged.size(); ++n) {
      const auto cause = positions.find(merged[n].Cause);
      if (cause != positions.end())
        RC_ASSERT(cause->second < n);
      RC_ASSERT(merged[n].Sequence > last[merged[n].Instance]);
      last[merged[n].Instance] = merged[n].Sequence;
    }
  });
}

TEST(TimelineProperties, orderDoesNotDependOnTheInputOrder) {
  support::expectHolds(CaseCount / 10, [] {
    RandomEventSequence sequence(*rc::gen::arbitrary<std::uint64_t>());
    auto events = sequence.shuffledWithLossAndDuplicates();
    const auto first = positionsOf(mergeTimeline(events));
    std::reverse(events.begin(), events.end());
    RC_ASSERT(positionsOf(mergeTimeline(events)) == first);
  });
}

/// Returns random events of requests at entries and sidecars, mostly in orders
/// that no real request has.
std::vector<Event> randomRequestEvents(core::Random &random) {
  using enum EventNumber;
  constexpr EventNumber Numbers[] = {
      RequestReceived, RequestRouted,  RequestRetried,
      RequestEnded,    RequestRefused, RunStarted,
      RunEnded,        RunRefused,     RunReplayed};
  std::vector<Event> events;
  for (std::uint64_t n = 1; n <= 40; ++n) {
    Event event;
    event.Number = Numbers[core::uniformIndex(random, std::size(Numbers))];
    event.Instance =
        core::InstanceId("i" + std::to_string(core::uniformIndex(random, 3)));
    event.Start = core::Incarnation(1);
    event.Sequence = n;
    event.At = core::Millis(
        static_cast<std::int64_t>(core::uniformIndex(random, 100)));
    event.Request =
        core::RequestId("r" + std::to_string(core::uniformIndex(random, 2)));
    event.Detail = "i" + std::to_string(core::uniformIndex(random, 3));
    events.push_back(event);
  }
  return events;
}

TEST(CauseInferenceProperties, noEventIsLostAndEachProcessKeepsItsOrder) {
  support::expectHolds(CaseCount, [] {
    core::Random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto events = randomRequestEvents(random);
    const auto merged = mergeTimeline(inferCauses(events));
    RC_ASSERT(merged.size() == events.size());
    std::map<core::InstanceId, std::uint64_t> last;
    for (const Event &it : merged) {
      RC_ASSERT(it.Sequence > last[it.Instance]);
      last[it.Instance] = it.Sequence;
    }
  });
}

TEST(EventCodecProperties, corruptedTextNeverCrashesTheDecoder) {
  RandomEventSequence sequence(7);
  const std::string good =
      encodeEvents(sequence.shuffledWithLossAndDuplicates());
  support::expectHolds(CaseCount, [&] {
    std::string text = good;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
    text.insert(at, *rc::gen::arbitrary<std::string>());
    const auto events = decodeEvents(text);
    if (events.ok())
      mergeTimeline(*events);
  });
}

} // namespace
