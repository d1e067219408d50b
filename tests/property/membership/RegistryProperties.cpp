#include "cowslipridge/membership/ServerRegistry.hpp"

#include "support/PropertyChecks.hpp"

#include <algorithm>
#include <set>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Millis;

namespace {

constexpr int Histories = 5'000;
constexpr int MaxEvents = 80;
constexpr std::size_t RunnerCount = 4;
constexpr std::size_t MaxCopies = 3;
/// Runners write their entries again within this time after a restore.
constexpr Millis RewriteTime{2'000};

using Entries = std::map<core::RunnerId, BackendServer>;

/// Simulates runners that start, drain and leave, a store that is restored from
/// older copies of their entries, and a gateway's registry.
class RegistrySimulation {
public:
  /// If not `reconciles`, the registry takes restored listings as they are.
  explicit RegistrySimulation(bool reconciles) : Reconciles(reconciles) {
    for (std::size_t n = 0; n < RunnerCount; ++n)
      start(n);
    Copies.push_back(Store);
  }

  void advance(Millis time) {
    Now = Now + time;
    if (RewritesAt && Now >= *RewritesAt)
      rewriteAll();
    Registry.tick(Now);
    for (const BackendServer &it : Registry.takeConfirmed(Now))
      Registry.put(it);
  }
  void start(std::size_t runner) {
    if (Live.contains(runner))
      return;
    BackendServer entry;
    entry.Id = core::RunnerId("r" + std::to_string(runner));
    entry.StartedAt = Millis(++Starts);
    Live.emplace(runner, entry);
    write(runner);
  }
  void drain(std::size_t runner) {
    const auto it = Live.find(runner);
    if (it == Live.end() || it->second.Draining)
      return;
    it->second.Draining = true;
    Drained.insert(it->second.StartedAt);
    write(runner);
  }
  void leave(std::size_t runner) {
    const auto it = Live.find(runner);
    if (it == Live.end() || !it->second.Draining)
      return;
    Store.erase(it->second.Id);
    Registry.remove(it->second.Id, Now);
    Live.erase(it);
  }
  void copyStore() {
    Copies.push_back(Store);
    if (Copies.size() > MaxCopies)
      Copies.erase(Copies.begin());
  }
  void restore(std::size_t copy) {
    Store = Copies.at(copy % Copies.size());
    Registry.onStoreAvailable(Now);
    std::vector<BackendServer> listed;
    for (const auto &[id, entry] : Store)
      listed.push_back(entry);
    Registry.replaceAll(Registry.reconcile(listed, Reconciles, Now), Now);
    RewritesAt = Now + RewriteTime;
  }

  /// Checks that no drained runner is in use and no other live one is missing.
  void check() const {
    for (const auto &[id, server] : Registry.all()) {
      const bool isRevived =
          !server.Draining && Drained.contains(server.StartedAt);
      RC_ASSERT_FALSE(isRevived);
    }
    for (const auto &[runner, entry] : Live) {
      const BackendServer *known = Registry.find(entry.Id);
      const bool isInUse =
          known != nullptr && known->StartedAt == entry.StartedAt;
      const bool isLost = !entry.Draining && !isInUse;
      RC_ASSERT_FALSE(isLost);
    }
  }

private:
  void write(std::size_t runner) {
    BackendServer &entry = Live.at(runner);
    ++entry.Sequence;
    Store.insert_or_assign(entry.Id, entry);
    Registry.put(entry);
  }
  void rewriteAll() {
    RewritesAt.reset();
    std::set<core::RunnerId> live;
    for (const auto &[runner, entry] : Live)
      live.insert(entry.Id);
    for (std::size_t n = 0; n < RunnerCount; ++n) {
      if (Live.contains(n))
        write(n);
    }
    // The platform removes the entries of runners that are no longer renewed.
    const Entries before = Store;
    for (const auto &[id, entry] : before) {
      if (live.contains(id))
        continue;
      Store.erase(id);
      Registry.remove(id, Now);
    }
  }

  bool Reconciles;
  Millis Now{10'000};
  std::int64_t Starts = 0;
  std::map<std::size_t, BackendServer> Live;
  std::set<Millis> Drained; ///< start times of the incarnations that drained
  Entries Store;
  std::vector<Entries> Copies;
  std::optional<Millis> RewritesAt;
  ServerRegistry Registry;
};

void applyRandomEvent(RegistrySimulation &simulation) {
  const auto runner = *rc::gen::inRange<std::size_t>(0, RunnerCount);
  simulation.advance(Millis(*rc::gen::inRange(0, 900)));
  switch (*rc::gen::inRange(0, 7)) {
  case 0:
    simulation.start(runner);
    break;
  case 1:
    simulation.drain(runner);
    break;
  case 2:
    simulation.leave(runner);
    break;
  case 3:
    simulation.copyStore();
    break;
  case 4:
    simulation.restore(*rc::gen::inRange<std::size_t>(0, MaxCopies));
    break;
  default:
    break;
  }
}

void checkHistory(bool reconciles) {
  RegistrySimulation simulation(reconciles);
  const int events = *rc::gen::inRange(1, MaxEvents);
  for (int n = 0; n < events; ++n) {
    applyRandomEvent(simulation);
    simulation.check();
  }
}

TEST(RegistryProperties, restoresNeitherLoseLiveRunnersNorReviveDrainedOnes) {
  support::expectHolds(Histories, [] { checkHistory(true); });
}

// The counterpart: entries of the copy bring drained runners back.
TEST(RegistryProperties, restoredListingsReviveDrainedRunnersIfTakenAsTheyAre) {
  support::expectViolated(Histories, [] { checkHistory(false); });
}

} // namespace
