#include "cowslipridge/rollout/TrialControl.hpp"

#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <rapidcheck.h>
#include <set>
#include <utility>

using namespace cowslipridge;
using namespace cowslipridge::rollout;
using core::Millis;
using core::VersionId;

namespace {

const core::ServiceId Service("s");
const VersionId Good("v1");         ///< serves from the start
constexpr Millis Duration{600'000}; ///< no roll-out ends in a history
constexpr std::size_t GatewayCount = 3;
constexpr int Histories = 2'000;
constexpr int EventsPerHistory = 60;

/// Gateways that share one record in a store. Operators order other versions,
/// none of which is ever shown to serve, and take the service back.
class OrdersSimulation {
public:
  /// If not `recordsServing`, records don't name the versions that serve.
  explicit OrdersSimulation(bool recordsServing)
      : RecordsServing(recordsServing) {
    for (auto &it : Gateways)
      it.emplace(ExposureLimit{0.15, 0});
    for (auto &it : Gateways)
      it->onRegistered(Service, {Good}, Now);
  }

  void order(int number) {
    const VersionId target("v" + std::to_string(number));
    Stored.Command = {Service, target, Duration};
    Registered.insert(target);
    sync();
  }
  /// The gateway is replaced by a new process.
  void restart(std::size_t gateway) {
    Gateways.at(gateway).emplace(ExposureLimit{0.15, 0});
    list(gateway, false);
  }
  void decide(std::size_t gateway) {
    TrialControl &control = *Gateways.at(gateway);
    TrialControl::Observation observation;
    observation.TargetHasRunner = true;
    observation.Registered = Registered;
    const auto it = control.next(Service, observation, Now);
    if (!it || it->Status.Target != Stored.Command->Target)
      return;
    Stored.Record = {it->Status, it->Progress};
    if (!RecordsServing)
      Stored.Record->second.Serving.clear();
    sync();
  }
  void copyStore() { Copy = Stored; }
  void restoreStore() {
    if (!Copy || !Copy->Command)
      return;
    Stored = *Copy;
    for (std::size_t n = 0; n < GatewayCount; ++n)
      list(n, true);
  }
  void advance(Millis time) {
    Now = Now + time;
    for (auto &it : Gateways) {
      it->tick(Now);
      it->onRegistered(Service, Registered, Now);
    }
  }

  /// Returns whether some gateway takes a version for a stable one that isn't
  /// shown to serve, or puts the good one on trial.
  [[nodiscard]] bool isViolated() const {
    // Nobody has recorded yet what serves.
    if (!Stored.Record)
      return false;
    for (const auto &it : Gateways) {
      const auto choice = it->choose(Service, 0, Now);
      for (const VersionId &version : Registered) {
        const bool isUsed =
            version != choice.Target && !it->isUnproved(Service, version);
        if (version != Good && isUsed)
          return true;
      }
      if (choice.Target == Good &&
          choice.Versions != TrialControl::Choice::Target)
        return true;
      if (it->isUnproved(Service, Good))
        return true;
    }
    return false;
  }

private:
  struct Contents {
    std::optional<RolloutCommand> Command;
    std::optional<std::pair<RolloutStatus, RolloutProgress>> Record;
  };

  void list(std::size_t gateway, bool afterRestore) {
    RolloutList all;
    all.AfterRestore = afterRestore;
    if (Stored.Command)
      all.Commands.push_back(*Stored.Command);
    if (Stored.Record) {
      all.Statuses.push_back(Stored.Record->first);
      all.Progresses.push_back(Stored.Record->second);
    }
    Gateways.at(gateway)->onListed(all, Now);
  }
  /// All gateways receive the present contents by their watches.
  void sync() {
    for (auto &it : Gateways) {
      it->onCommand(*Stored.Command, Now);
      if (!Stored.Record)
        continue;
      it->onStatus(Stored.Record->first, Now);
      it->onProgress(Stored.Record->second, Now);
    }
  }

  bool RecordsServing;
  std::array<std::optional<TrialControl>, GatewayCount> Gateways;
  std::set<VersionId> Registered{Good};
  Contents Stored;
  std::optional<Contents> Copy;
  Millis Now;
};

void playHistory(bool recordsServing) {
  OrdersSimulation simulation(recordsServing);
  simulation.order(*rc::gen::inRange(2, 5));
  simulation.decide(0);
  for (int n = 0; n < EventsPerHistory; ++n) {
    const auto gateway = *rc::gen::inRange<std::size_t>(0, GatewayCount);
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
      simulation.order(*rc::gen::inRange(1, 5));
      break;
    case 1:
      simulation.restart(gateway);
      break;
    case 2:
      simulation.copyStore();
      break;
    case 3:
      simulation.restoreStore();
      break;
    case 4:
      simulation.advance(Millis(*rc::gen::inRange(50, 3'000)));
      break;
    default:
      simulation.decide(gateway);
    }
    RC_ASSERT(!simulation.isViolated());
  }
}

// Guards against a version that was ordered and replaced, and then gets the
// traffic of the stable version, whatever orders, restarts and restores follow
// each other.
TEST(ServingVersionsProperty, onlyVersionsThatServeAreStable) {
  support::expectHolds(Histories, [] { playHistory(true); });
}

TEST(ServingVersionsProperty, failsWhenRecordsDoNotNameTheVersionsThatServe) {
  support::expectViolated(Histories, [] { playHistory(false); });
}

} // namespace
