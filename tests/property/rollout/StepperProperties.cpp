#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/rollout/RolloutStepper.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::rollout;

namespace {

constexpr int EventSequences = 10'000;

/// Store with one key. Each call is pending until the test releases it.
class ControlledStore final : public backing::Store {
public:
  using Entry = std::optional<backing::StoreEntry>;

  void get(const std::string &,
           std::function<void(core::Result<Entry>)> done) override {
    PendingCalls.emplace_back([=, this](int fault) {
      if (fault == 0)
        done(core::Errc::StoreUnavailable);
      else
        done(Stored);
    });
  }
  void list(const std::string &,
            std::function<void(core::Result<std::vector<backing::StoreEntry>>)>
                done) override {
    done(core::Errc::StoreUnavailable);
  }
  void compareAndSwap(const std::string &key, const std::string &value,
                      backing::Revision expected,
                      std::function<void(backing::SwapResult)> done) override {
    PendingCalls.emplace_back([=, this](int fault) {
      if (fault == 0) {
        done({backing::SwapStatus::Unavailable});
        return;
      }
      const bool matches = (Stored ? Stored->ModifiedAt : 0) == expected;
      if (matches && fault != 1)
        Stored = backing::StoreEntry{key, value, ++Last};
      if (fault <= 2)
        done({backing::SwapStatus::LostReply});
      else
        done({matches ? backing::SwapStatus::Swapped
                      : backing::SwapStatus::Mismatch});
    });
  }
  void
  compareAndDelete(const std::string &, backing::Revision,
                   std::function<void(backing::SwapResult)> done) override {
    done({backing::SwapStatus::Unavailable});
  }
  void
  watch(const std::string &, std::uint64_t, core::Millis,
        std::function<void(core::Result<backing::WatchResult>)> done) override {
    done(core::Errc::StoreUnavailable);
  }

  /// Completes one pending call. With fault 0 the store is unavailable; with
  /// fault 1 or 2 the reply of a write is lost, before or after it took effect.
  void release(std::size_t pick, int fault) {
    if (PendingCalls.empty())
      return;
    const auto it = PendingCalls.begin() +
                    static_cast<std::ptrdiff_t>(pick % PendingCalls.size());
    const auto call = *it;
    PendingCalls.erase(it);
    call(fault);
  }
  [[nodiscard]] bool idle() const { return PendingCalls.empty(); }
  [[nodiscard]] std::optional<RolloutRecord> record() const {
    return Stored ? std::optional(*decodeRecord(Stored->Value)) : std::nullopt;
  }

private:
  Entry Stored;
  backing::Revision Last = 0;
  std::vector<std::function<void(int)>> PendingCalls;
};

config::ServiceDeclaration service() {
  config::ServiceDeclaration service;
  service.Name = core::ServiceId("advice");
  service.Rollout.emplace();
  service.Rollout->Trial = core::VersionId("new");
  service.Rollout->Replaces = core::VersionId("old");
  service.Rollout->Steps = {0.1, 0.5, 1};
  return service;
}

CutOff cutOffFor(const std::string &organisation) {
  return {core::ServiceId("advice"), core::VersionId("new"),
          core::OrganisationId(organisation), "bad"};
}

// Guards against lost updates when several processes write the record at once
// and store calls fail or lose their replies: the step rises by one at a time,
// cut-offs are never removed, and every action is in the record in the end.
TEST(StepperProperties, concurrentSteppersKeepRecordConsistent) {
  support::expectHolds(EventSequences, [] {
    const auto store = std::make_shared<ControlledStore>();
    std::vector<std::shared_ptr<RolloutStepper>> steppers;
    for (int i = 0; i < 3; ++i) {
      steppers.push_back(std::make_shared<RolloutStepper>(
          store, [](const RolloutRecord &) {}));
      steppers.back()->configure(service(), core::Generation(4));
    }
    RolloutRecord previous;
    bool isCutForAll = false;
    const auto observe = [&] {
      const auto record = store->record();
      if (!record)
        return;
      RC_ASSERT(record->Step == previous.Step ||
                record->Step == previous.Step + 1);
      for (const CutOff &it : previous.CutOffs)
        RC_ASSERT(record->CutOffs.count(it) == 1);
      previous = *record;
    };
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (const int step : steps) {
      const auto pick = *rc::gen::inRange<std::size_t>(0, 3);
      if (step == 0)
        steppers[pick]->perform(AdvanceStep{
            core::ServiceId("advice"), core::VersionId("new"), previous.Step});
      else if (step == 1)
        steppers[pick]->perform(cutOffFor(std::to_string(pick)));
      else if (step == 2)
        steppers[pick]->refresh();
      else
        store->release(pick, *rc::gen::inRange(0, 8));
      observe();
    }
    const bool cutsForAll = *rc::gen::arbitrary<bool>();
    if (cutsForAll) {
      steppers[0]->perform(cutOffFor(""));
      isCutForAll = true;
    }
    for (int i = 0; i < 200 && !(store->idle() && i > 20); ++i) {
      if (store->idle())
        steppers[static_cast<std::size_t>(i) % 3]->refresh();
      store->release(0, 9);
      observe();
    }
    for (const auto &it : steppers)
      RC_ASSERT(it->pending() == 0U);
    RC_ASSERT(store->record().has_value());
    const RolloutState state = stateOf(*store->record(), *service().Rollout);
    RC_ASSERT(std::holds_alternative<RolloutCutOff>(state) == isCutForAll);
  });
}

TEST(StepperProperties, recordSurvivesEncodingAndDecoding) {
  support::expectHolds(EventSequences, [] {
    RolloutRecord record{
        core::Generation(*rc::gen::arbitrary<std::uint64_t>()),
        core::VersionId(std::to_string(*rc::gen::arbitrary<int>())),
        core::VersionId("old"),
        *rc::gen::arbitrary<unsigned>(),
        {cutOffFor(std::to_string(*rc::gen::arbitrary<int>()))}};
    RC_ASSERT(*decodeRecord(encodeRecord(record)) == record);
    const auto text = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(decodeRecord(text).error() == core::Errc::Malformed);
  });
}

TEST(StepperProperties, olderConfigurationNeverReplacesNewerRollout) {
  support::expectHolds(EventSequences, [] {
    const auto stored =
        core::Generation(*rc::gen::inRange<std::uint64_t>(0, 9));
    const auto own = core::Generation(*rc::gen::inRange<std::uint64_t>(0, 9));
    const RolloutRecord other{
        stored, core::VersionId("newer"), core::VersionId("old"), 2, {}};
    const auto current = currentRecord(other, *service().Rollout, own);
    RC_ASSERT(current.has_value() == (own > stored));
  });
}

} // namespace
