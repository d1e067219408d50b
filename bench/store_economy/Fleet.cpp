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
constexpr core::Millis RunTime{120};
/// Keys that one ledger tries until it finds one of its own shards.
constexpr int MaxKeyTries = 4'000;

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
    for (const Member &it : Members)
      Result.Unserved += it.Machine->servedShards() == 0 ? 1 : 0;
    return Result;
  }

private:
  struct Member {
    core::ServiceId Service;
    core::InstanceId Instance;
    std::unique_ptr<JournalStateMachine> Machine;
    std::optional<core::Millis> Wake;
  };

  void addLedger(unsigned index) {
    Member member;
    member.Service = core::ServiceId(
        "service-" + std::to_string(index / Plan.LedgersPerService));
    member.Instance = core::InstanceId("sidecar-" + std::to_string(index));
    JournalSettings settings;
    settings.Service = member.Service;
    settings.Instance = member.Instance;
    settings.Start = core::Incarnation(1);
    settings.Writer = std::to_string(index);
    settings.RollBytes = Plan.RollBytes;
    settings.Pacer.MinInterval = Plan.MinInterval;
    settings.Pacer.MaxInterval = Plan.MaxInterval;
    settings.Pacer.FleetWritesPerSecond = Plan.WritesPerSecond;
    member.Machine = std::make_unique<JournalStateMachine>(settings);
    Members.push_back(std::move(member));
    const auto start = core::Millis(
        static_cast<std::int64_t>(core::uniformIndex(Random, 3'000)));
    Time.at(start, [=, this] {
      tell(index, FleetResized{Plan.Ledgers});
      tell(index, StartRequested{});
      later(Plan.BillsPerSecond, [=, this] { bill(index); });
      later(Plan.ClaimsPerSecond, [=, this] { claim(index); });
    });
  }

  void later(double perSecond, std::function<void()> task) {
    std::exponential_distribution<double> gap(perSecond / 1'000);
    Time.at(Time.now() + core::Millis(std::llround(gap(Random))),
            std::move(task));
  }

  void tell(unsigned index, const JournalEvent &event) {
    const ClockReadings now{Time.now(), Time.now() + WallOrigin};
    for (const JournalAction &it : Members[index].Machine->handle(event, now))
      std::visit([&](const auto &x) { perform(index, x); }, it);
    armWake(index);
  }

  void armWake(unsigned index) {
    Member &member = Members[index];
    const auto at = member.Machine->wakeAt();
    if (!at || (member.Wake && *member.Wake <= *at))
      return;
    member.Wake = std::max(*at, Time.now());
    Time.at(*member.Wake, [=, this] {
      Members[index].Wake.reset();
      tell(index, TimePassed{});
    });
  }

  void bill(unsigned index) {
    later(Plan.BillsPerSecond, [=, this] { bill(index); });
    const core::RequestId request("m-" + std::to_string(LastRequest++));
    Bills[request] = Time.now();
    tell(index, BillRequested{billOf(index, request)});
  }

  Bill billOf(unsigned index, const core::RequestId &request) const {
    return {request,
            core::OrganisationId("organisation-1"),
            Members[index].Service,
            core::Outcome::Ran,
            {{core::VersionId("fit-large@4"), "single", core::Outcome::Ran,
              3'000, 400, 1'250}},
            Time.now() + WallOrigin};
  }

  // Claims a key of a shard that this ledger owns, as routed calls do.
  void claim(unsigned index) {
    later(Plan.ClaimsPerSecond, [=, this] { claim(index); });
    const Member &member = Members[index];
    for (int i = 0; i < MaxKeyTries; ++i) {
      const IdempotencyKey key{core::OrganisationId("organisation-1"),
                               member.Service, std::to_string(Random())};
      const auto owner = member.Machine->ownerOf(shardOf(key, 64));
      if (!owner || owner->Instance != member.Instance)
        continue;
      const Ticket ticket = ++LastTicket;
      const core::RequestId request("k-" + key.Key);
      Claims[ticket] = {
          index, {key, request, Time.now() + WallOrigin}, Time.now()};
      tell(index, ClaimRequested{ticket, Claims[ticket].Wanted});
      return;
    }
  }

  void perform(unsigned index, const CallStore &action) {
    Store.call(action.Command,
               [=, this, call = action.Call](const StoreReply &reply) {
                 tell(index, StoreReplied{call, reply});
               });
  }

  void perform(unsigned index, const AnswerClaim &action) {
    const OpenClaim open = Claims.extract(action.Requester).mapped();
    if (!std::holds_alternative<RunClaimed>(action.Decision)) {
      Result.Refused += Measuring ? 1 : 0;
      return;
    }
    if (Measuring)
      Result.ClaimDelaysMs.push_back(
          static_cast<double>((Time.now() - open.Since).count()));
    Time.at(Time.now() + RunTime, [=, this] {
      tell(index, RecordOutcomeRequested{++LastTicket,
                                         {open.Wanted.Key, core::Outcome::Ran,
                                          201, std::string(200, 'x')}});
      tell(index, BillRequested{billOf(index, open.Wanted.Request)});
    });
  }

  void perform(unsigned, const JournalNotification &notice) {
    if (notice.Kind != NotificationKind::BillWritten)
      return;
    const auto it = Bills.find(notice.Request);
    if (it == Bills.end())
      return;
    if (Measuring)
      Result.BillDelaysMs.push_back(
          static_cast<double>((Time.now() - it->second).count()));
    Bills.erase(it);
  }

  template <typename Other> void perform(unsigned, const Other &) {}

  struct OpenClaim {
    unsigned Index = 0;
    Claim Wanted;
    core::Millis Since;
  };

  FleetPlan Plan;
  Timeline Time;
  CountingStore Store;
  core::Random Random;
  std::vector<Member> Members;
  std::map<Ticket, OpenClaim> Claims;
  std::map<core::RequestId, core::Millis> Bills;
  std::uint64_t LastRequest = 0;
  Ticket LastTicket = 0;
  bool Measuring = false;
  FleetResult Result;
};

} // namespace

FleetResult runFleet(const FleetPlan &plan) { return FleetRun(plan).run(); }

} // namespace cowslipridge::store_economy
