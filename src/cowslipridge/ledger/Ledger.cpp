#include "cowslipridge/ledger/Ledger.hpp"

#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/ledger/JournalStateMachine.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace cowslipridge::ledger {

namespace {

constexpr std::chrono::milliseconds MaxSleep{1'000};

std::string randomWriter() {
  std::random_device device;
  const std::uint64_t high = device();
  return std::to_string(high << 32 | device());
}

JournalSettings machineSettingsOf(const LedgerSettings &settings) {
  JournalSettings machine;
  machine.Service = settings.Service;
  machine.Instance = settings.Instance;
  machine.Start = settings.Start;
  machine.Writer = randomWriter();
  machine.Shards = settings.Shards;
  machine.DedupWindow = settings.DedupWindow;
  machine.Pacer.MinInterval = settings.MinCommitInterval;
  machine.Pacer.MaxInterval = settings.MaxCommitInterval;
  machine.Pacer.FleetWritesPerSecond = settings.FleetWritesPerSecond;
  return machine;
}

observe::EventNumber numberOf(NotificationKind kind) {
  switch (kind) {
  case NotificationKind::ClaimCommitted:
    return observe::EventNumber::ClaimCommitted;
  case NotificationKind::BillWritten:
    return observe::EventNumber::BillWritten;
  case NotificationKind::JournalSealed:
    return observe::EventNumber::JournalSealed;
  case NotificationKind::JournalTakenOver:
    return observe::EventNumber::JournalTakenOver;
  case NotificationKind::StoreUnavailable:
    return observe::EventNumber::StoreUnavailable;
  case NotificationKind::StoreAvailable:
    break;
  }
  return observe::EventNumber::StoreAvailable;
}

/// Callbacks by ticket; each is removed when it is called.
template <typename Callback> class Waiters {
public:
  void add(Ticket ticket, Callback done) { Map[ticket] = std::move(done); }
  Callback remove(Ticket ticket) {
    auto node = Map.extract(ticket);
    return node.empty() ? Callback() : std::move(node.mapped());
  }

private:
  std::map<Ticket, Callback> Map;
};

} // namespace

class Ledger::Impl : public std::enable_shared_from_this<Ledger::Impl> {
public:
  Impl(LedgerSettings settings, std::shared_ptr<backing::Store> store,
       const core::Clock &clock, observe::EventLog &events)
      : Settings(std::move(settings)), Store(std::move(store)), Time(clock),
        Events(&events), Machine(machineSettingsOf(Settings)) {}

  void startTimer() {
    Timer = std::thread([this] { runTimer(); });
  }

  // Replies of the store that arrive after this are ignored.
  void stop() {
    {
      const std::lock_guard lock(Guard);
      Stopping = true;
      Events = nullptr;
    }
    Wake.notify_all();
    if (Timer.joinable())
      Timer.join();
  }

  // Registers a callback and passes its event to the state machine, under one
  // lock.
  template <typename Callback, typename MakeEvent>
  void submit(Waiters<Callback> &waiters, Callback done, MakeEvent makeEvent) {
    std::vector<std::function<void()>> calls;
    {
      const std::lock_guard lock(Guard);
      const Ticket ticket = ++LastTicket;
      waiters.add(ticket, std::move(done));
      calls = apply(makeEvent(ticket));
    }
    run(calls);
  }

  void handleEvent(const JournalEvent &event) {
    std::vector<std::function<void()>> calls;
    {
      const std::lock_guard lock(Guard);
      if (Stopping)
        return;
      calls = apply(event);
    }
    run(calls);
  }

  void bill(const Bill &bill, std::function<void()> done) {
    {
      const std::lock_guard lock(Guard);
      Bills.emplace(bill.Request, std::move(done));
    }
    handleEvent(BillRequested{bill});
  }

  template <typename Read> auto read(Read reader) const {
    const std::lock_guard lock(Guard);
    return reader(Machine);
  }

  const LedgerSettings Settings;
  Waiters<std::function<void(ClaimDecision)>> Claims;
  Waiters<std::function<void(ClaimOutcome)>> Attachments;
  Waiters<std::function<void()>> RecordedOutcomes;
  Waiters<std::function<void(core::Result<SessionPin>)>> Pins;
  Waiters<std::function<void(std::error_code)>> TakeOvers;
  Waiters<std::function<void(std::error_code)>> Starts;
  Waiters<std::function<void()>> Closes;
  /// Called when a bill of the request is committed.
  std::multimap<core::RequestId, std::function<void()>> Bills;
  Ticket StartTicket = 0;
  Ticket CloseTicket = 0;

private:
  using Calls = std::vector<std::function<void()>>;

  static void run(const Calls &calls) {
    for (const auto &it : calls)
      it();
  }

  // Passes an event to the state machine and returns the calls to make after
  // the lock is released. The caller holds the lock.
  Calls apply(const JournalEvent &event) {
    Calls calls;
    for (JournalAction &it :
         Machine.handle(event, {Time.monotonic(), Time.wall()}))
      std::visit([&](auto &action) { add(calls, action); }, it);
    Wake.notify_all();
    return calls;
  }

  void add(Calls &calls, CallStore &action) {
    calls.emplace_back([self = shared_from_this(), action = std::move(action)] {
      self->callStore(action);
    });
  }
  void add(Calls &calls, const AnswerStart &) {
    if (auto done = Starts.remove(StartTicket))
      calls.emplace_back([done] { done({}); });
  }
  void add(Calls &calls, const AnswerClaim &action) {
    if (auto done = Claims.remove(action.Requester))
      calls.emplace_back([done, action] { done(action.Decision); });
  }
  void add(Calls &calls, const AnswerAttach &action) {
    if (auto done = Attachments.remove(action.Requester))
      calls.emplace_back([done, action] { done(action.Outcome); });
  }
  void add(Calls &calls, const AnswerRecordOutcome &action) {
    if (auto done = RecordedOutcomes.remove(action.Requester))
      calls.emplace_back(done);
  }
  void add(Calls &calls, const AnswerPin &action) {
    if (auto done = Pins.remove(action.Requester))
      calls.emplace_back([done, action] { done(action.Pin); });
  }
  void add(Calls &calls, const AnswerTakeOver &action) {
    if (auto done = TakeOvers.remove(action.Requester))
      calls.emplace_back([done, action] { done(action.Error); });
  }
  void add(Calls &calls, const AnswerClose &) {
    if (auto done = Closes.remove(CloseTicket))
      calls.emplace_back(done);
  }
  void add(Calls &calls, const JournalNotification &action) {
    if (action.Kind == NotificationKind::BillWritten) {
      const auto [begin, end] = Bills.equal_range(action.Request);
      for (auto it = begin; it != end; ++it)
        calls.push_back(std::move(it->second));
      Bills.erase(begin, end);
    }
    if (Events != nullptr)
      Events->report(numberOf(action.Kind),
                     {action.Request, {}, {}, action.Detail});
  }

  void callStore(const CallStore &action) {
    const auto reply = [self = shared_from_this(),
                        call = action.Call](StoreReply answer) {
      self->handleEvent(StoreReplied{call, std::move(answer)});
    };
    std::visit(core::Overloaded{
                   [&](const SwapKey &x) {
                     Store->compareAndSwap(x.Key, x.Value, x.Expected,
                                           [reply](backing::SwapResult result) {
                                             reply(result.Status);
                                           });
                   },
                   [&](const ReadKey &x) { Store->get(x.Key, reply); }},
               action.Command);
  }

  std::chrono::milliseconds sleepTime() const {
    const std::optional<core::Millis> at = Machine.wakeAt();
    if (!at)
      return MaxSleep;
    const std::int64_t ms = (*at - Time.monotonic()).count();
    return std::min(MaxSleep,
                    std::chrono::milliseconds(std::max<std::int64_t>(ms, 0)));
  }

  void runTimer() {
    std::unique_lock lock(Guard);
    while (!Stopping) {
      const std::chrono::milliseconds sleep = sleepTime();
      if (sleep.count() > 0)
        Wake.wait_for(lock, sleep);
      if (Stopping)
        return;
      const Calls calls = apply(TimePassed{});
      lock.unlock();
      run(calls);
      lock.lock();
    }
  }

  const std::shared_ptr<backing::Store> Store;
  const core::Clock &Time;
  observe::EventLog *Events;
  mutable std::mutex Guard;
  std::condition_variable Wake;
  JournalStateMachine Machine;
  Ticket LastTicket = 0;
  bool Stopping = false;
  std::thread Timer;
};

Ledger::Ledger(LedgerSettings settings, std::shared_ptr<backing::Store> store,
               const core::Clock &clock, observe::EventLog &events)
    : Internals(std::make_shared<Impl>(std::move(settings), std::move(store),
                                       clock, events)) {
  Internals->startTimer();
}

Ledger::~Ledger() { Internals->stop(); }

void Ledger::start(std::function<void(std::error_code)> done) {
  Internals->submit(Internals->Starts, std::move(done), [&](Ticket ticket) {
    Internals->StartTicket = ticket;
    return StartRequested{};
  });
}

void Ledger::claim(const Claim &claim,
                   std::function<void(ClaimDecision)> done) {
  Internals->submit(Internals->Claims, std::move(done), [&](Ticket ticket) {
    return ClaimRequested{ticket, claim};
  });
}

void Ledger::attach(const IdempotencyKey &key,
                    std::function<void(ClaimOutcome)> done) {
  Internals->submit(Internals->Attachments, std::move(done),
                    [&](Ticket ticket) {
                      return AttachRequested{ticket, key};
                    });
}

void Ledger::recordOutcome(const ClaimOutcome &outcome,
                           std::function<void()> done) {
  ClaimOutcome stored = outcome;
  if (stored.Answer.size() > Internals->Settings.MaxStoredAnswerBytes)
    stored.Answer.clear();
  Internals->submit(Internals->RecordedOutcomes, std::move(done),
                    [&](Ticket ticket) {
                      return RecordOutcomeRequested{ticket, stored};
                    });
}

void Ledger::bill(const Bill &bill, std::function<void()> done) {
  Internals->bill(bill, std::move(done));
}

void Ledger::pin(const SessionPin &wanted,
                 std::function<void(core::Result<SessionPin>)> done) {
  Internals->submit(Internals->Pins, std::move(done), [&](Ticket ticket) {
    return PinRequested{ticket, wanted};
  });
}

core::InstanceId Ledger::ownerOf(const IdempotencyKey &key) const {
  const unsigned shard = shardOf(key, Internals->Settings.Shards);
  const auto owner = Internals->read([&](const JournalStateMachine &machine) {
    return machine.ownerOf(shard);
  });
  return owner ? owner->Instance : core::InstanceId();
}

void Ledger::takeOver(const core::InstanceId &dead,
                      std::function<void(std::error_code)> done) {
  Internals->submit(Internals->TakeOvers, std::move(done), [&](Ticket ticket) {
    return TakeOverRequested{ticket, dead};
  });
}

void Ledger::close(std::function<void()> done) {
  Internals->submit(Internals->Closes, std::move(done), [&](Ticket ticket) {
    Internals->CloseTicket = ticket;
    return CloseRequested{};
  });
}

std::size_t Ledger::pending() const {
  return Internals->read(
      [](const JournalStateMachine &machine) { return machine.pending(); });
}

bool Ledger::hasCapacity() const {
  return pending() < Internals->Settings.MaxBufferedBills;
}

void Ledger::setFleetSize(std::size_t ledgers) {
  Internals->handleEvent(FleetResized{ledgers});
}

} // namespace cowslipridge::ledger
