#include "cowslipridge/membership/Evacuations.hpp"

#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::membership;
using core::Millis;
using Domain = core::FailureDomainId;
using Domains = std::set<Domain>;

namespace {

constexpr int Histories = 300;
constexpr std::size_t GatewayCount = 3;
constexpr Millis Step{100};
/// Time after which the operator writes again what a restored store lacks.
constexpr Millis OperatorDelay{4'000};
/// Time in which all gateways agree with the operator once nothing fails.
constexpr Millis SettleTime =
    Evacuations::MissingCommandPeriod + Evacuations::ReportLifetime;

const std::vector<Domain> AllDomains{Domain("north"), Domain("south")};

/// An operator, a store that fails, and the gateways that follow it.
class Fleet {
public:
  explicit Fleet(bool tellsRestores) : TellsRestores(tellsRestores) {}

  void command(const Domain &domain) {
    Intended.insert(domain);
    write(domain);
  }
  void withdraw(const Domain &domain) {
    Intended.erase(domain);
    for (Gateway &it : Gateways)
      it.Seen.erase(domain);
    remove(domain);
  }
  void copyStore() { Copy = Stored; }
  void restore() {
    if (!Copy)
      return;
    Stored = *Copy;
    ++Era;
    RepairAt = Now + OperatorDelay;
    for (Gateway &it : Gateways) {
      if (it.Connected)
        list(it);
    }
  }
  void relist(std::size_t number) {
    if (Gateways.at(number).Connected)
      list(Gateways.at(number));
  }
  void disconnect(std::size_t number) {
    Gateways.at(number).Connected = false;
    Gateways.at(number).State.onStoreUnavailable();
  }
  void connect(std::size_t number) {
    Gateway &gateway = Gateways.at(number);
    if (std::exchange(gateway.Connected, true))
      return;
    gateway.State.onStoreAvailable();
    list(gateway);
  }
  void connectAll() {
    for (std::size_t n = 0; n < GatewayCount; ++n)
      connect(n);
  }
  void reportFrom(std::size_t number) {
    for (std::size_t n = 0; n < GatewayCount; ++n) {
      if (n != number)
        Gateways.at(n).State.onPeerReport(Gateways.at(number).State.commanded(),
                                          Now);
    }
  }
  void pass(Millis time) {
    for (const Millis end = Now + time; Now < end;) {
      Now = Now + Step;
      if (RepairAt && Now >= *RepairAt)
        repair();
      for (Gateway &it : Gateways)
        it.State.update(Now);
      check();
    }
  }

  /// No domain that a gateway has seen a command for is in use there.
  void check() const {
    for (const Gateway &gateway : Gateways) {
      for (const Domain &it : gateway.Seen)
        RC_ASSERT(gateway.State.isEvacuated(it, Now));
    }
  }
  void checkAgreement() const {
    for (const Gateway &gateway : Gateways) {
      for (const Domain &it : AllDomains)
        RC_ASSERT(gateway.State.isEvacuated(it, Now) == Intended.contains(it));
    }
  }

private:
  struct Gateway {
    Evacuations State;
    bool Connected = true;
    int Era = 0;
    Domains Seen; ///< commands in force that it has got
  };

  void write(const Domain &domain) {
    Stored.insert(domain);
    for (Gateway &it : Gateways) {
      if (!it.Connected)
        continue;
      it.State.onCommand(domain);
      it.Seen.insert(domain);
    }
  }
  void remove(const Domain &domain) {
    Stored.erase(domain);
    for (Gateway &it : Gateways) {
      if (!it.Connected)
        continue;
      it.State.onWithdrawn(domain, Now);
      // A gateway that follows the store uses the domain again at once.
      RC_ASSERT(!it.State.isEvacuated(domain, Now));
    }
  }
  void list(Gateway &gateway) const {
    const bool isRestored = gateway.Era != Era;
    gateway.Era = Era;
    gateway.State.onListed(Stored, isRestored && TellsRestores, Now);
  }
  /// The operator writes its commands and withdrawals again.
  void repair() {
    RepairAt.reset();
    for (const Domain &it : AllDomains) {
      if (Intended.contains(it))
        write(it);
      else
        remove(it);
    }
  }

  const bool TellsRestores;
  std::vector<Gateway> Gateways{GatewayCount};
  Domains Intended;
  Domains Stored;
  std::optional<Domains> Copy;
  std::optional<Millis> RepairAt;
  int Era = 0;
  Millis Now{100'000};
};

void playHistory(Fleet &fleet) {
  const int length = *rc::gen::inRange(5, 60);
  for (int n = 0; n < length; ++n) {
    const Domain &domain =
        AllDomains.at(*rc::gen::inRange<std::size_t>(0, AllDomains.size()));
    const auto gateway = *rc::gen::inRange<std::size_t>(0, GatewayCount);
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
      fleet.command(domain);
      break;
    case 1:
      fleet.withdraw(domain);
      break;
    case 2:
      fleet.copyStore();
      break;
    case 3:
      fleet.restore();
      break;
    case 4:
      fleet.relist(gateway);
      break;
    case 5:
      fleet.disconnect(gateway);
      break;
    case 6:
      fleet.connect(gateway);
      break;
    case 7:
      fleet.reportFrom(gateway);
      break;
    default:
      fleet.pass(Millis(*rc::gen::inRange(100, 8'000)));
    }
    fleet.check();
  }
  fleet.connectAll();
  fleet.pass(SettleTime);
  fleet.checkAgreement();
}

// Guards against requests to a domain under command, and against domains that
// stay out of service, in any order of restores, listings and outages.
TEST(EvacuationsProperty, gatewaysFollowTheOperatorThroughFailures) {
  support::expectHolds(Histories, [] {
    Fleet fleet(true);
    playHistory(fleet);
  });
}

// The commands that a restored store lacks are lost when gateways take its
// listing for complete.
TEST(EvacuationsProperty, gatewaysThatIgnoreRestoresLoseCommands) {
  support::expectViolated(Histories, [] {
    Fleet fleet(false);
    playHistory(fleet);
  });
}

} // namespace
