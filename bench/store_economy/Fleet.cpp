#include "store_economy/Fleet.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/ledger/JournalStateMachine.hpp"

#include <cmath>
#include <map>
#include <memory>

namespace cowslipridge::store_economy {

using namespace ledger;

namespace {

constexpr core::Millis WallOrigin{1'700'000'000'000};
/// Time that a claimed call takes.
constexpr core::Millis CallDuration{120};
/// Limit on the random keys that a ledger draws to find one in its own shards.
constexpr int MaxKeyDraws = 4'000;

class FleetRun {
public:
  explicit FleetRun(const FleetPlan &plan)
      : Plan(plan), Store(Time, plan.Seed), Random(plan.Seed + 1) {
    for (unsigned i = 0; i < plan.Ledgers; ++i)
      addLedger(i);
  }

  FleetResult run() {
    Time.runUntil(Plan.WarmUp);
    Store.takeCounts();
    Measuring = true;
    Time.runUntil(Plan.WarmUp + Plan.Length);
    Result.Counts = Store.takeCounts();
    for (const SimulatedLedger &it : Members)
      Result.LedgersWithoutShards += it.Journal->servedShards() == 0 ? 1 : 0;
    return Result;
  }

private:
  struct SimulatedLedger {
    core::ServiceId Service;
    core::InstanceId Instance;
    std::unique_ptr<JournalStateMachine> Journal;
    std::optional<core::Millis> NextWakeAt;
  };

  void addLedger(unsigned index) {
    SimulatedLedger ledger;
    ledger.Service = core::ServiceId(
        "service-" + std::to_string(index / Plan.LedgersPerService));
    ledger.Instance = core::InstanceId("sidecar-" + std::to_string(index));
    JournalSettings settings;
    settings.Service = ledger.Service;
    settings.Instance = ledger.Instance;
    settings.Start = core::Incarnation(1);
    settings.Writer = std::to_string(index);
    settings.RollBytes = Plan.RollBytes;
    settings.Pacer.MinInterval = Plan.MinInterval;
    settings.Pacer.MaxInterval = Plan.MaxInterval;
    settings.Pacer.FleetWritesPerSecond = Plan.WritesPerSecond;
    ledger.Journal = std::make_unique<JournalStateMachine>(settings);
    Members.push_back(std::move(ledger));
    const auto start = core::Millis(
        static_cast<std::int64_t>(core::uniformIndex(Random, 3'000)));
    Time.at(start, [=, this] {
      handleEvent(index, FleetResized{Plan.Ledgers});
      handleEvent(index, StartRequested{});
      scheduleAfterRandomDelay(Plan.BillsPerSecond,
                               [=, this] { requestBill(index); });
      scheduleAfterRandomDelay(Plan.ClaimsPerSecond,
                               [=, this] { requestClaim(index); });
    });
  }

  void scheduleAfterRandomDelay(double perSecond, std::function<void()> task) {
    std::exponential_distribution<double> gap(perSecond / 1'000);
    Time.at(Time.now() + core::Millis(std::llround(gap(Random))),
            std::move(task));
  }

  void handleEvent(unsigned index, const JournalEvent &event) {
    const ClockReadings now{Time.now(), Time.now() + WallOrigin};
    for (const JournalAction &it : Members[index].Journal->handle(event, now))
      std::visit([&](const auto &x) { perform(index, x); }, it);
    scheduleWake(index);
  }

  void scheduleWake(unsigned index) {
    SimulatedLedger &ledger = Members[index];
    const auto at = ledger.Journal->wakeAt();
    if (!at || (ledger.NextWakeAt && *ledger.NextWakeAt <= *at))
      return;
    ledger.NextWakeAt = std::max(*at, Time.now());
    Time.at(*ledger.NextWakeAt, [=, this] {
      Members[index].NextWakeAt.reset();
      handleEvent(index, TimePassed{});
    });
  }

  void requestBill(unsigned index) {
    scheduleAfterRandomDelay(Plan.BillsPerSecond,
                             [=, this] { requestBill(index); });
    const core::RequestId request("m-" + std::to_string(LastRequest++));
    PendingBills[request] = Time.now();
    handleEvent(index, BillRequested{makeBill(index, request)});
  }

  Bill makeBill(unsigned index, const core::RequestId &request) const {
    return {request,
            core::OrganisationId("organisation-1"),
            Members[index].Service,
            core::Outcome::Ran,
            {{core::VersionId("fit-large@4"), "single", core::Outcome::Ran,
              3'000, 400, 1'250}},
            Time.now() + WallOrigin};
  }

  // Claims a key of a shard that this ledger owns, as calls are routed to the
  // owner of their key.
  void requestClaim(unsigned index) {
    scheduleAfterRandomDelay(Plan.ClaimsPerSecond,
                             [=, this] { requestClaim(index); });
    const SimulatedLedger &ledger = Members[index];
    for (int i = 0; i < MaxKeyDraws; ++i) {
      const IdempotencyKey key{core::OrganisationId("organisation-1"),
                               ledger.Service, std::to_string(Random())};
      const auto owner = ledger.Journal->ownerOf(shardOf(key, 64));
      if (!owner || owner->Instance != ledger.Instance)
        continue;
      const Ticket ticket = ++LastTicket;
      const core::RequestId request("k-" + key.Key);
      PendingClaims[ticket] = {
          index, {key, request, Time.now() + WallOrigin}, Time.now()};
      handleEvent(index,
                  ClaimRequested{ticket, PendingClaims[ticket].Requested});
      return;
    }
  }

  void perform(unsigned index, const CallStore &action) {
    Store.call(action.Command,
               [=, this, call = action.Call](const StoreReply &reply) {
                 handleEvent(index, StoreReplied{call, reply});
               });
  }

  void perform(unsigned index, const AnswerClaim &action) {
    const PendingClaim pending =
        PendingClaims.extract(action.Requester).mapped();
    if (!std::holds_alternative<RunClaimed>(action.Decision)) {
      Result.Refused += Measuring ? 1 : 0;
      return;
    }
    if (Measuring)
      Result.ClaimDelaysMs.push_back(
          static_cast<double>((Time.now() - pending.RequestedAt).count()));
    Time.at(Time.now() + CallDuration, [=, this] {
      handleEvent(index, RecordOutcomeRequested{++LastTicket,
                                                {pending.Requested.Key,
                                                 core::Outcome::Ran, 201,
                                                 std::string(200, 'x')}});
      handleEvent(index,
                  BillRequested{makeBill(index, pending.Requested.Request)});
    });
  }

  void perform(unsigned, const JournalNotification &notification) {
    if (notification.Kind != NotificationKind::BillWritten)
      return;
    const auto it = PendingBills.find(notification.Request);
    if (it == PendingBills.end())
      return;
    if (Measuring)
      Result.BillDelaysMs.push_back(
          static_cast<double>((Time.now() - it->second).count()));
    PendingBills.erase(it);
  }

  template <typename Other> void perform(unsigned, const Other &) {}

  struct PendingClaim {
    unsigned Index = 0;
    Claim Requested;
    core::Millis RequestedAt;
  };

  FleetPlan Plan;
  Timeline Time;
  CountingStore Store;
  core::Random Random;
  std::vector<SimulatedLedger> Members;
  std::map<Ticket, PendingClaim> PendingClaims;
  std::map<core::RequestId, core::Millis> PendingBills;
  std::uint64_t LastRequest = 0;
  Ticket LastTicket = 0;
  bool Measuring = false;
  FleetResult Result;
};

} // namespace

FleetResult runFleet(const FleetPlan &plan) { return FleetRun(plan).run(); }

} // namespace cowslipridge::store_economy
