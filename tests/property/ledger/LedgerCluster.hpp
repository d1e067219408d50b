#pragma once

#include "SimulatedStore.hpp"
#include "cowslipridge/ledger/BillMerge.hpp"
#include "cowslipridge/ledger/JournalStateMachine.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace cowslipridge::ledger::simulation {

enum class StepKind {
  Call,
  CallOwner,
  Pin,
  ModelRequest,
  Crash,
  Freeze,
  TakeOver,
  Close,
  Outage,
};

/// One event in a generated sequence.
struct Step {
  StepKind Kind = StepKind::Call;
  unsigned Sidecar = 0;
  unsigned Subject = 0; ///< key, session or other sidecar
  int DelayMs = 0;      ///< before the next step
};

void showValue(const Step &step, std::ostream &out);

struct EventSequence {
  std::uint64_t Seed = 0;
  unsigned Sidecars = 3;
  StoreFaults Faults;
  int CrashPercent = 0; ///< per store call
  Omission Omitted = Omission::None;
  std::vector<Step> Steps;
};

/// Runs the state machines of several ledgers on one simulated store, with
/// callers that retry their calls, and checks the guarantees of the ledger.
class LedgerCluster {
public:
  explicit LedgerCluster(const EventSequence &sequence);
  /// Runs the sequence, ends all faults and checks the final state. Returns the
  /// violations found.
  std::vector<std::string> play();

private:
  struct Process {
    core::InstanceId Instance;
    std::uint64_t Start = 0;
    std::unique_ptr<JournalStateMachine> Machine;
    bool Alive = false;
    bool Frozen = false;
    std::optional<core::Millis> Wake;
    std::deque<std::function<void()>> Inbox;
  };
  struct Call {
    unsigned Sidecar = 0;
    Claim Wanted;
    bool Refused = false;
    bool Ran = false; ///< was allowed to run
  };

  void startProcess(unsigned sidecar);
  void crash(unsigned sidecar);
  void freeze(unsigned sidecar, core::Millis length);
  void resume(unsigned sidecar);
  void inProcess(unsigned sidecar, std::uint64_t start,
                 std::function<void()> task);
  void handleEvent(unsigned sidecar, const JournalEvent &event);
  void armWake(unsigned sidecar);
  void perform(unsigned sidecar, const CallStore &action);
  void perform(unsigned sidecar, const AnswerClaim &action);
  void perform(unsigned sidecar, const AnswerAttach &) { (void)sidecar; }
  void perform(unsigned sidecar, const AnswerRecordOutcome &) { (void)sidecar; }
  void perform(unsigned sidecar, const AnswerPin &action);
  void perform(unsigned sidecar, const AnswerTakeOver &) { (void)sidecar; }
  void perform(unsigned sidecar, const AnswerStart &) { (void)sidecar; }
  void perform(unsigned sidecar, const AnswerClose &);
  void perform(unsigned sidecar, const JournalNotification &) { (void)sidecar; }
  void onDecision(Call &call, const RunClaimed &);
  void onDecision(Call &call, const ReplayOutcome &replay);
  void onDecision(Call &call, const AlreadyRunning &) { (void)call; }
  void onDecision(Call &call, const ClaimRefused &refused);
  void play(const Step &step);
  Ticket claimAt(unsigned sidecar, const std::string &key);
  void run(Call &call);
  void finishRun(unsigned sidecar, const Claim &claim);
  void serveModelRequest(unsigned sidecar);
  unsigned ownerOf(const std::string &key) const;
  void endFaults();
  void checkLiveness();
  void checkBills();
  bool isInJournal(const JournalId &id, const Claim &claim) const;
  Bill billOf(const core::RequestId &request) const;
  void reportViolation(std::string what) {
    Violations.push_back(std::move(what));
  }
  core::Millis shortDelay();

  EventSequence Plan;
  Timeline Time;
  core::Random Random;
  SimulatedStore Store;
  std::vector<Process> Processes;
  Ticket LastTicket = 0;
  unsigned ModelRequests = 0;
  bool FaultsEnded = false;
  std::map<Ticket, Call> Calls;
  std::map<IdempotencyKey, int> Runs;
  std::set<core::RequestId> Served;
  std::map<core::RequestId, Bill> EntryBills;
  std::map<core::SessionId, core::VersionId> Pinned;
  std::set<Ticket> Granted;
  std::vector<std::string> Violations;
};

/// Returns a generated sequence. Must be called inside a RapidCheck property.
EventSequence anySequence(Omission omitted = Omission::None);

} // namespace cowslipridge::ledger::simulation
