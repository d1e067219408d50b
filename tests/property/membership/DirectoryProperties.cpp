#include "cowslipridge/membership/Directory.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Incarnation;
using core::Millis;

namespace {

const core::ServiceId Drafting("drafting");
constexpr int Cases = 10'000;
constexpr int NameCount = 3;
constexpr int StartsEnd = 4; ///< incarnations are below this

struct Step {
  int Kind = 0; ///< 0: list, 1: reply, 2: leaving reply, 3: failure, 4: tick
  int Name = 0;
  int Start = 0;
  int ElapsedMs = 0; ///< since the previous step
};

core::InstanceId nameOf(int n) {
  return core::InstanceId("sidecar-" + std::to_string(n));
}

backing::InstanceRecord recordOf(const Step &step) {
  backing::InstanceRecord it;
  it.Name = nameOf(step.Name);
  it.Kind = backing::Role::Sidecar;
  it.Start = Incarnation(static_cast<std::uint64_t>(step.Start));
  it.Address = "127.0.0.1";
  it.Service = Drafting;
  return it;
}

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::Kind, rc::gen::inRange(0, 5)),
      rc::gen::set(&Step::Name, rc::gen::inRange(0, NameCount)),
      rc::gen::set(&Step::Start, rc::gen::inRange(1, StartsEnd)),
      rc::gen::set(&Step::ElapsedMs, rc::gen::inRange(0, 20'000)));
}

void apply(Directory &members, const Step &step, Millis now) {
  const core::InstanceId name = nameOf(step.Name);
  const Incarnation start(static_cast<std::uint64_t>(step.Start));
  switch (step.Kind) {
  case 0:
    members.onList({recordOf(step)}, now);
    break;
  case 1:
    members.onReply(name, start, false, now);
    break;
  case 2:
    members.onReply(name, start, true, now);
    break;
  case 3:
    members.onFailure(name, now);
    break;
  default:
    members.tick(now);
    break;
  }
}

// In any sequence of lists, replies, failures and ticks, an incarnation that
// reported that it is leaving is never usable again, and an instance is never
// replaced by an older incarnation.
TEST(DirectoryProperties, leavingIsFinalWithinAnIncarnation) {
  support::expectHolds(Cases, [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    Directory members{DirectorySettings{}};
    std::set<std::pair<core::InstanceId, Incarnation>> leaving;
    std::map<core::InstanceId, Incarnation> newest;
    Millis now(0);
    for (const Step &step : steps) {
      now = now + Millis(step.ElapsedMs);
      const core::InstanceId name = nameOf(step.Name);
      const Member *before = members.find(name);
      const bool known = before != nullptr;
      apply(members, step, now);
      if (step.Kind == 2 && known)
        leaving.insert({name, recordOf(step).Start});
      for (const Member &it : members.usable(Drafting)) {
        RC_ASSERT(leaving.count({it.Record.Name, it.Record.Start}) == 0U);
        Incarnation &last = newest[it.Record.Name];
        RC_ASSERT(it.Record.Start >= last);
        last = it.Record.Start;
      }
    }
  });
}

} // namespace
