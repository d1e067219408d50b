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
constexpr int Histories = 10'000;
constexpr int Names = 3;
constexpr int Starts = 4;

struct Step {
  int Kind = 0; ///< 0 list, 1 reply, 2 leaving reply, 3 failure, 4 time
  int Name = 0;
  int Start = 0;
  int Elapsed = 0;
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
      rc::gen::set(&Step::Name, rc::gen::inRange(0, Names)),
      rc::gen::set(&Step::Start, rc::gen::inRange(1, Starts)),
      rc::gen::set(&Step::Elapsed, rc::gen::inRange(0, 20'000)));
}

void take(Directory &members, const Step &step, Millis now) {
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

// Whatever the order of lists, replies, failures and pauses, an incarnation
// that said it is leaving gets no work again, and an instance never goes back
// to an older incarnation.
TEST(DirectoryProperties, leavingIsFinalWithinAnIncarnation) {
  support::expectHolds(Histories, [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    Directory members{DirectorySettings{}};
    std::set<std::pair<core::InstanceId, Incarnation>> left;
    std::map<core::InstanceId, Incarnation> newest;
    Millis now(0);
    for (const Step &step : steps) {
      now = now + Millis(step.Elapsed);
      const core::InstanceId name = nameOf(step.Name);
      const Member *before = members.find(name);
      const bool known = before != nullptr;
      take(members, step, now);
      if (step.Kind == 2 && known)
        left.insert({name, recordOf(step).Start});
      for (const Member &it : members.usable(Drafting)) {
        RC_ASSERT(left.count({it.Record.Name, it.Record.Start}) == 0U);
        Incarnation &last = newest[it.Record.Name];
        RC_ASSERT(it.Record.Start >= last);
        last = it.Record.Start;
      }
    }
  });
}

} // namespace
