#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/limits/AdmissionPolicy.hpp"
#include "support/AdmissionSimulation.hpp"
#include "support/PropertyChecks.hpp"

using namespace cowslipridge;
using namespace cowslipridge::limits;
using core::Millis;

namespace {

constexpr int Cases = 20'000;
constexpr int Loads = 40;
constexpr Millis Now{50'000};
const Capacity Fresh{{}, Millis(0)};

std::int64_t draw(core::Random &random, std::size_t size) {
  return static_cast<std::int64_t>(core::uniformIndex(random, size));
}

AdmissionFacts drawFacts(core::Random &random) {
  AdmissionFacts facts;
  facts.Rank = static_cast<int>(draw(random, 4));
  facts.Target = Millis(500 + draw(random, 6'000));
  facts.ShortestTarget = Millis(1 + draw(random, 2'000));
  facts.ArrivedAt = Now - Millis(draw(random, 3'000));
  facts.Deadline = Now + Millis(draw(random, 15'000));
  facts.Work.FirstToken = Millis(draw(random, 2'000));
  Millis ahead;
  for (Millis &it : facts.Work.Ahead) {
    ahead = ahead + Millis(draw(random, 400));
    it = ahead;
  }
  facts.Returned = draw(random, 4) == 0;
  facts.OverShare = draw(random, 4) == 0;
  facts.RarelyServed = draw(random, 8) == 0;
  facts.SizeRarelyServed = draw(random, 8) == 0;
  facts.MoreUrgentWaiting = static_cast<unsigned>(draw(random, 3));
  return facts;
}

// Guards against requests that are held for ever, or past half of their target.
TEST(AdmissionPolicyProperties, heldRequestAlwaysEnds) {
  support::expectHolds(Cases, [](std::uint64_t seed) {
    core::Random random(seed);
    AdmissionFacts facts = drawFacts(random);
    const auto decision = AdmissionPolicy::decide(facts, Fresh, Now);
    const auto *held = std::get_if<HoldUntil>(&decision);
    if (held == nullptr)
      return;
    RC_ASSERT(held->Until > Now);
    RC_ASSERT(held->Until <= facts.ArrivedAt + facts.Target / 2);
    RC_ASSERT(held->Until + facts.Work.FirstToken <=
              facts.ArrivedAt + facts.Target);
    // The load may be any other one by then.
    const AdmissionFacts later = drawFacts(random);
    facts.Work.Ahead = later.Work.Ahead;
    facts.MoreUrgentWaiting = later.MoreUrgentWaiting;
    RC_ASSERT(!std::holds_alternative<HoldUntil>(
        AdmissionPolicy::decide(facts, Fresh, held->Until)));
  });
}

// Guards against a less urgent request that is sent before a more urgent one
// which meets the same load, other than to prevent starvation.
TEST(AdmissionPolicyProperties, noPriorityInversion) {
  support::expectHolds(Cases, [](std::uint64_t seed) {
    core::Random random(seed);
    AdmissionFacts urgent = drawFacts(random);
    AdmissionFacts other = drawFacts(random);
    other.RarelyServed = false;
    other.Rank = urgent.Rank + 1;
    other.Work.Ahead = urgent.Work.Ahead;
    other.ShortestTarget = urgent.ShortestTarget;
    const auto first = AdmissionPolicy::decide(urgent, Fresh, Now);
    const auto second = AdmissionPolicy::decide(other, Fresh, Now);
    const auto *sent = std::get_if<SendNow>(&first);
    const auto *otherSent = std::get_if<SendNow>(&second);
    if (sent != nullptr && otherSent != nullptr)
      RC_ASSERT(sent->EnginePriority <= otherSent->EnginePriority);
    const auto *held = std::get_if<HoldUntil>(&first);
    const auto *otherHeld = std::get_if<HoldUntil>(&second);
    if (held != nullptr && otherHeld != nullptr)
      RC_ASSERT(held->Place < otherHeld->Place);
  });
}

/// Returns a load of one to three times the capacity.
support::LoadPlan drawPlan(core::Random &random) {
  support::LoadPlan plan;
  plan.Kinds = support::usualKinds();
  for (support::LoadKind &it : plan.Kinds)
    it.BurstFactor = 1 + 2 * core::uniform(random);
  plan.RunnersInBurst = 6 + core::uniformIndex(random, 5);
  plan.ObeysRetryAfter = core::uniformIndex(random, 2) == 0;
  return plan;
}

/// Returns whether no kind is served less than a quarter as often as all.
bool servesAllKinds(const support::LoadPlan &plan, std::uint64_t seed) {
  support::AdmissionSimulation load(plan, seed);
  load.run();
  RC_ASSERT(load.held() == 0U);
  const double all = load.all().served();
  return std::all_of(plan.Kinds.begin(), plan.Kinds.end(),
                     [&](const support::LoadKind &it) {
                       return load.of(it.Name).served() >= all / 4;
                     });
}

TEST(AdmissionPolicyProperties, noKindStarves) {
  support::expectHolds(Loads, [](std::uint64_t seed) {
    core::Random random(seed);
    RC_ASSERT(servesAllKinds(drawPlan(random), seed));
  });
}

// Shows that an order by rank alone starves a kind.
TEST(AdmissionPolicyProperties, kindsStarveWithoutTheServedShares) {
  support::expectViolated(Loads, [](std::uint64_t seed) {
    core::Random random(seed);
    support::LoadPlan plan = drawPlan(random);
    plan.PreventsStarvation = false;
    RC_ASSERT(servesAllKinds(plan, seed));
  });
}

} // namespace
