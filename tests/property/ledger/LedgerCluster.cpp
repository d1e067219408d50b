#include "LedgerCluster.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <rapidcheck.h>

namespace cowslipridge::ledger::simulation {

namespace {

constexpr unsigned Shards = 3;
constexpr unsigned Keys = 4;
constexpr unsigned Sessions = 2;
constexpr core::Millis RestartDelay{150};
constexpr core::Millis FreezeLength{700};
constexpr core::Millis OutageLength{400};
constexpr core::Millis RecoveryTime{12'000};
constexpr core::Millis FlushTime{4'000};
constexpr core::Millis RetryInterval{1'000};
constexpr int MaxAttempts = 5;
const core::ServiceId Service("booking");
const core::OrganisationId Organisation("rentals");

IdempotencyKey keyOf(const std::string &name) {
  return {Organisation, Service, name};
}

} // namespace

LedgerCluster::LedgerCluster(const EventSequence &sequence)
    : Plan(sequence), Random(sequence.Seed),
      Store(Time, sequence.Seed + 1, sequence.Faults, sequence.Omitted),
      Processes(sequence.Sidecars) {
  for (unsigned i = 0; i < Processes.size(); ++i) {
    Processes[i].Instance = core::InstanceId("sidecar-" + std::to_string(i));
    startProcess(i);
  }
}

core::Millis LedgerCluster::shortDelay() {
  return core::Millis(
      static_cast<std::int64_t>(core::uniformIndex(Random, 30)));
}

// Processes ----------------------------------------------------------------

void LedgerCluster::startProcess(unsigned sidecar) {
  Process &process = Processes[sidecar];
  ++process.Start;
  JournalSettings settings;
  settings.Service = Service;
  settings.Instance = process.Instance;
  settings.Start = core::Incarnation(process.Start);
  settings.Writer =
      std::to_string(sidecar) + "." + std::to_string(process.Start);
  settings.Shards = Shards;
  settings.PollInterval = core::Millis(800);
  settings.MaxClaimWait = core::Millis(500);
  settings.RollBytes = 600;
  settings.Pacer.MaxInterval = core::Millis(100);
  process.Machine = std::make_unique<JournalStateMachine>(settings);
  process.Alive = true;
  process.Frozen = false;
  process.Wake.reset();
  process.Inbox.clear();
  handleEvent(sidecar, StartRequested{});
}

void LedgerCluster::crash(unsigned sidecar) {
  Process &process = Processes[sidecar];
  if (!process.Alive)
    return;
  process.Alive = false;
  Time.after(RestartDelay, [=, this] {
    if (!Processes[sidecar].Alive)
      startProcess(sidecar);
  });
}

void LedgerCluster::freeze(unsigned sidecar, core::Millis length) {
  Processes[sidecar].Frozen = true;
  const std::uint64_t start = Processes[sidecar].Start;
  Time.after(length, [=, this] {
    if (Processes[sidecar].Start == start)
      resume(sidecar);
  });
}

void LedgerCluster::resume(unsigned sidecar) {
  Process &process = Processes[sidecar];
  process.Frozen = false;
  for (const auto &task : std::exchange(process.Inbox, {}))
    inProcess(sidecar, process.Start, task);
}

// Runs a task of one incarnation of a process. A frozen process runs it when it
// resumes; a crashed one never does.
void LedgerCluster::inProcess(unsigned sidecar, std::uint64_t start,
                              std::function<void()> task) {
  Process &process = Processes[sidecar];
  if (!process.Alive || process.Start != start)
    return;
  if (process.Frozen)
    process.Inbox.push_back(std::move(task));
  else
    task();
}

void LedgerCluster::handleEvent(unsigned sidecar, const JournalEvent &event) {
  inProcess(sidecar, Processes[sidecar].Start, [=, this] {
    const core::Millis wall = Time.now() + core::Millis(1'000'000'000);
    const JournalActions actions =
        Processes[sidecar].Machine->handle(event, {Time.now(), wall});
    for (const JournalAction &it : actions)
      std::visit([&](const auto &x) { perform(sidecar, x); }, it);
    armWake(sidecar);
  });
}

void LedgerCluster::armWake(unsigned sidecar) {
  Process &process = Processes[sidecar];
  if (!process.Alive)
    return;
  const std::optional<core::Millis> at = process.Machine->wakeAt();
  if (!at || (process.Wake && *process.Wake <= *at))
    return;
  process.Wake = std::max(*at, Time.now());
  const std::uint64_t start = process.Start;
  Time.after(*process.Wake - Time.now(), [=, this] {
    inProcess(sidecar, start, [=, this] {
      Processes[sidecar].Wake.reset();
      handleEvent(sidecar, TimePassed{});
    });
  });
}

void LedgerCluster::perform(unsigned sidecar, const CallStore &action) {
  const Process &process = Processes[sidecar];
  const std::string own = headKey(Service, process.Machine->journal());
  const std::string &key =
      std::visit([](const auto &x) -> const std::string & { return x.Key; },
                 action.Command);
  const bool isOwner = key.rfind(own, 0) == 0;
  const std::uint64_t start = process.Start;
  const std::uint64_t number = action.Call;
  Store.call(action.Command, isOwner, [=, this](const StoreReply &reply) {
    inProcess(sidecar, start, [=, this] {
      handleEvent(sidecar, StoreReplied{number, reply});
    });
  });
  const auto percent = static_cast<int>(core::uniformIndex(Random, 100));
  if (!FaultsEnded && percent < Plan.CrashPercent)
    crash(sidecar);
}

void LedgerCluster::perform(unsigned sidecar, const AnswerClose &) {
  crash(sidecar);
}

// Calls --------------------------------------------------------------------

Ticket LedgerCluster::claimAt(unsigned sidecar, const std::string &key) {
  const Ticket ticket = ++LastTicket;
  const Claim claim{keyOf(key), core::RequestId("k-" + key),
                    Time.now() + core::Millis(1'000'000'000)};
  Calls[ticket] = {sidecar, claim};
  if (Plan.Omitted == Omission::ClaimCommit)
    run(Calls[ticket]);
  handleEvent(sidecar, ClaimRequested{ticket, claim});
  return ticket;
}

void LedgerCluster::perform(unsigned, const AnswerClaim &action) {
  Call &call = Calls[action.Requester];
  if (std::holds_alternative<RunClaimed>(action.Decision))
    Granted.insert(action.Requester);
  std::visit([&](const auto &x) { onDecision(call, x); }, action.Decision);
}

void LedgerCluster::onDecision(Call &call, const RunClaimed &) {
  const JournalId &id = Processes[call.Sidecar].Machine->journal();
  if (call.Refused)
    reportViolation("a refused call was allowed to run");
  if (!isInJournal(id, call.Wanted))
    reportViolation("a call runs without a claim in its owner's journal");
  if (Plan.Omitted != Omission::ClaimCommit)
    run(call);
}

void LedgerCluster::onDecision(Call &call, const ReplayOutcome &replay) {
  if (replay.Earlier.Result == core::Outcome::NotRun)
    reportViolation("the outcome not-run was replayed");
  if (replay.Earlier.Result == core::Outcome::Ran && Runs[call.Wanted.Key] == 0)
    reportViolation("a call that never ran was replayed as ran");
}

void LedgerCluster::onDecision(Call &call, const ClaimRefused &) {
  call.Refused = true;
  if (call.Ran)
    reportViolation("not-run was reported for a call that ran");
}

// Runs the call in the process that holds the claim. The runner refuses one
// call in eight, which then does not run.
void LedgerCluster::run(Call &call) {
  call.Ran = true;
  const unsigned sidecar = call.Sidecar;
  const std::uint64_t start = Processes[sidecar].Start;
  const Claim claim = call.Wanted;
  const bool refusedByRunner = core::uniformIndex(Random, 8) == 0 &&
                               Plan.Omitted != Omission::ClaimCommit;
  Time.after(shortDelay(), [=, this] {
    inProcess(sidecar, start, [=, this] {
      if (refusedByRunner) {
        handleEvent(sidecar, RecordOutcomeRequested{
                                 ++LastTicket,
                                 {claim.Key, core::Outcome::NotRun, 0, {}}});
        return;
      }
      if (++Runs[claim.Key] > 1)
        reportViolation("a non-idempotent call ran twice");
      Served.insert(claim.Request);
      Time.after(shortDelay(), [=, this] {
        inProcess(sidecar, start, [=, this] { finishRun(sidecar, claim); });
      });
    });
  });
}

void LedgerCluster::finishRun(unsigned sidecar, const Claim &claim) {
  handleEvent(sidecar,
              RecordOutcomeRequested{
                  ++LastTicket, {claim.Key, core::Outcome::Ran, 200, "done"}});
  handleEvent(sidecar, BillRequested{billOf(claim.Request)});
  if (core::uniformIndex(Random, 2) == 0)
    EntryBills[claim.Request] = billOf(claim.Request);
}

// The entry holds a copy of the bill, so that the bill is not lost with its
// sidecar.
void LedgerCluster::serveModelRequest(unsigned sidecar) {
  const core::RequestId request("m-" + std::to_string(ModelRequests++));
  Served.insert(request);
  EntryBills[request] = billOf(request);
  handleEvent(sidecar, BillRequested{billOf(request)});
}

Bill LedgerCluster::billOf(const core::RequestId &request) const {
  return {request,
          Organisation,
          Service,
          core::Outcome::Ran,
          {{core::VersionId("v"), "single", core::Outcome::Ran, 1, 2, 3}},
          core::Millis(7)};
}

void LedgerCluster::perform(unsigned, const AnswerPin &action) {
  if (!action.Pin)
    return;
  const SessionPin &pin = *action.Pin;
  const auto [it, isNew] = Pinned.try_emplace(pin.Session, pin.Version);
  if (it->second != pin.Version)
    reportViolation("a session's pin changed");
}

unsigned LedgerCluster::ownerOf(const std::string &key) const {
  const unsigned shard = shardOf(keyOf(key), Shards);
  for (const Process &it : Processes) {
    const auto owner = it.Machine->ownerOf(shard);
    for (unsigned i = 0; owner && i < Processes.size(); ++i) {
      if (Processes[i].Instance == owner->Instance)
        return i;
    }
  }
  return 0;
}

// Events -------------------------------------------------------------------

void LedgerCluster::play(const Step &step) {
  const unsigned sidecar = step.Sidecar % Processes.size();
  const std::string key = "key-" + std::to_string(step.Subject % Keys);
  switch (step.Kind) {
  case StepKind::Call:
    claimAt(sidecar, key);
    break;
  case StepKind::CallOwner:
    claimAt(ownerOf(key), key);
    break;
  case StepKind::Pin: {
    const std::string session = "s" + std::to_string(step.Subject % Sessions);
    const SessionPin pin{Organisation, Service, core::SessionId(session),
                         core::VersionId("v" + std::to_string(LastTicket))};
    handleEvent(sidecar, PinRequested{++LastTicket, pin});
    break;
  }
  case StepKind::ModelRequest:
    serveModelRequest(sidecar);
    break;
  case StepKind::Crash:
    crash(sidecar);
    break;
  case StepKind::Freeze:
    freeze(sidecar, FreezeLength);
    break;
  case StepKind::TakeOver:
    handleEvent(
        sidecar,
        TakeOverRequested{++LastTicket,
                          Processes[step.Subject % Processes.size()].Instance});
    break;
  case StepKind::Close:
    handleEvent(sidecar, CloseRequested{});
    break;
  case StepKind::Outage:
    Store.setDown(true);
    Time.after(OutageLength, [this] { Store.setDown(false); });
    break;
  }
}

std::vector<std::string> LedgerCluster::play() {
  Time.runUntil(core::Millis(1'500));
  for (const Step &it : Plan.Steps) {
    play(it);
    Time.runUntil(Time.now() + core::Millis(it.DelayMs));
  }
  endFaults();
  checkLiveness();
  checkBills();
  return Violations;
}

void LedgerCluster::endFaults() {
  FaultsEnded = true;
  StoreFaults none;
  none.MaxDelay = core::Millis(2);
  Store.setFaults(none);
  Store.setDown(false);
  Time.runUntil(Time.now() + RecoveryTime);
  for (const auto &[request, bill] : EntryBills)
    handleEvent(0, BillRequested{bill});
  Time.runUntil(Time.now() + FlushTime);
}

// Checks that every shard gets an owner that lets a new key run. An owner whose
// journal was sealed while idle detects this only at the first claim, so claims
// are retried.
void LedgerCluster::checkLiveness() {
  if (Plan.Omitted != Omission::None)
    return;
  for (unsigned i = 0; i < Keys; ++i) {
    const std::string key = "new-" + std::to_string(i);
    bool granted = false;
    for (int attempt = 0; attempt < MaxAttempts && !granted; ++attempt) {
      const Ticket ticket = claimAt(ownerOf(key), key);
      Time.runUntil(Time.now() + RetryInterval);
      granted = Granted.count(ticket) > 0;
    }
    if (!granted)
      reportViolation(
          "a new key was not allowed to run after all faults ended");
  }
}

bool LedgerCluster::isInJournal(const JournalId &id, const Claim &claim) const {
  const std::string own = headKey(Service, id);
  for (const auto &[key, entry] : Store.entries()) {
    if (key != own && key.rfind(own + "/", 0) != 0)
      continue;
    std::vector<JournalRecord> records;
    if (key == own)
      records = decodeHead(entry.Value).value().Records;
    else
      records = decodeSegment(entry.Value).value();
    for (const JournalRecord &it : records) {
      if (it == JournalRecord(claim))
        return true;
    }
  }
  return false;
}

void LedgerCluster::checkBills() {
  BillMerge merge(Service);
  std::map<core::RequestId, int> copies;
  for (const auto &[key, entry] : Store.entries()) {
    if (key.rfind(journalPrefix(Service), 0) == 0)
      merge.add(entry);
    const auto head = decodeHead(entry.Value);
    if (Plan.Omitted != Omission::BillKeys || !head)
      continue;
    for (const JournalRecord &it : head->Records) {
      const auto *bill = std::get_if<Bill>(&it);
      if (bill != nullptr && ++copies[bill->Request] > 1)
        reportViolation("a request was billed twice");
    }
  }
  const BillReport report = merge.report();
  if (!report.DamagedKeys.empty())
    reportViolation("a journal key could not be decoded");
  std::set<core::RequestId> unsettled;
  for (const Bill &it : report.Unsettled)
    unsettled.insert(it.Request);
  for (const auto &[request, bill] : report.Bills) {
    if (Served.count(request) == 0)
      reportViolation("a request was billed that was not served");
    if (bill != billOf(request))
      reportViolation("a stored bill differs from the original");
  }
  for (const core::RequestId &it : Served) {
    const bool billed = report.Bills.count(it) > 0;
    if (!billed && EntryBills.count(it) > 0)
      reportViolation("a served request is not billed: " + it.str());
    if (!billed && unsettled.count(it) == 0)
      reportViolation("a served request is neither billed nor unsettled");
    if (billed && unsettled.count(it) > 0)
      reportViolation("a billed request is listed as unsettled");
  }
}

void showValue(const Step &step, std::ostream &out) {
  out << "step " << static_cast<int>(step.Kind) << " sidecar " << step.Sidecar
      << " subject " << step.Subject << " delay " << step.DelayMs;
}

// Generation ---------------------------------------------------------------

EventSequence anySequence(Omission omitted) {
  const auto kinds =
      rc::gen::weightedElement<StepKind>({{6, StepKind::Call},
                                          {8, StepKind::CallOwner},
                                          {3, StepKind::Pin},
                                          {2, StepKind::ModelRequest},
                                          {2, StepKind::Crash},
                                          {2, StepKind::Freeze},
                                          {3, StepKind::TakeOver},
                                          {1, StepKind::Close},
                                          {1, StepKind::Outage}});
  const auto step = rc::gen::apply(
      [](StepKind kind, unsigned sidecar, unsigned subject, int delay) {
        return Step{kind, sidecar, subject, delay};
      },
      kinds, rc::gen::inRange(0U, 12U), rc::gen::inRange(0U, 12U),
      rc::gen::weightedOneOf<int>(
          {{3, rc::gen::inRange(0, 20)}, {1, rc::gen::inRange(20, 400)}}));
  EventSequence sequence;
  sequence.Omitted = omitted;
  sequence.Seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>());
  sequence.Sidecars = *rc::gen::inRange(2U, 4U);
  sequence.Faults.LostRequest = *rc::gen::inRange(0, 8);
  sequence.Faults.LostReply = *rc::gen::inRange(0, 15);
  sequence.Faults.LateEffect = *rc::gen::inRange(0, 8);
  sequence.Faults.Duplicate = *rc::gen::inRange(0, 10);
  sequence.Faults.Unavailable = *rc::gen::inRange(0, 6);
  sequence.Faults.MaxDelay = core::Millis(*rc::gen::inRange(1, 25));
  sequence.CrashPercent = *rc::gen::elementOf(std::vector<int>{0, 0, 1, 3});
  sequence.Steps = *rc::gen::container<std::vector<Step>>(step);
  return sequence;
}

} // namespace cowslipridge::ledger::simulation
