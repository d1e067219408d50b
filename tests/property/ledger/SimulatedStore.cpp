#include "SimulatedStore.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/ledger/JournalHead.hpp"

namespace cowslipridge::ledger::simulation {

using backing::SwapStatus;

namespace {

constexpr std::int64_t MaxLateMs = 400;
constexpr std::int64_t TimeoutMs = 60;

bool isTable(const std::string &key) {
  return key.rfind("cowslipridge/shards/", 0) == 0;
}

} // namespace

void Timeline::after(core::Millis delay, std::function<void()> task) {
  Tasks.push({Now + delay, LastOrder++, std::move(task)});
}

void Timeline::runUntil(core::Millis end) {
  while (!Tasks.empty() && Tasks.top().At <= end) {
    const Task task = Tasks.top();
    Tasks.pop();
    Now = task.At;
    task.Run();
  }
  Now = end;
}

SimulatedStore::SimulatedStore(Timeline &timeline, std::uint64_t seed,
                               StoreFaults faults, Omission omission)
    : Time(timeline), Random(seed), Faults(faults), Omitted(omission) {}

bool SimulatedStore::occurs(int percent) {
  return static_cast<int>(core::uniformIndex(Random, 100)) < percent;
}

core::Millis SimulatedStore::delay() {
  const auto limit = static_cast<std::size_t>(Faults.MaxDelay.count()) + 1;
  return core::Millis(
      static_cast<std::int64_t>(core::uniformIndex(Random, limit)));
}

bool SimulatedStore::apply(const SwapKey &swap) {
  const auto it = Entries.find(swap.Key);
  const backing::Revision current =
      it == Entries.end() ? 0 : it->second.ModifiedAt;
  const bool compares =
      Omitted != Omission::TableRevision || !isTable(swap.Key);
  if (compares && current != swap.Expected)
    return false;
  Entries[swap.Key] = {swap.Key, swap.Value, ++LastRevision};
  return true;
}

bool SimulatedStore::fakesSeal(const SwapKey &swap, bool isOwner) {
  if (Omitted != Omission::Sealing || isOwner || isTable(swap.Key))
    return false;
  FakeSeals[swap.Key] = swap.Value;
  return true;
}

ReadReply SimulatedStore::read(const std::string &key, bool isOwner) const {
  const auto it = Entries.find(key);
  if (it == Entries.end())
    return std::optional<backing::StoreEntry>();
  backing::StoreEntry entry = it->second;
  const auto seal = FakeSeals.find(key);
  if (!isOwner && seal != FakeSeals.end())
    entry.Value = seal->second;
  const bool hidesClaims =
      Omitted == Omission::Adoption && !isOwner && !isTable(key);
  if (hidesClaims) {
    const auto head = decodeHead(entry.Value);
    if (head && head->sealed())
      entry.Value = encodeHead({head->Append, 0, head->SealedBy, {}});
  }
  return std::optional(entry);
}

void SimulatedStore::loseReply(const std::function<void(StoreReply)> &done) {
  const SwapStatus status = Omitted == Omission::LostReplies
                                ? SwapStatus::Swapped
                                : SwapStatus::LostReply;
  Time.after(core::Millis(TimeoutMs), [=] { done(status); });
}

void SimulatedStore::swap(const SwapKey &command, bool isOwner,
                          const std::function<void(StoreReply)> &done) {
  if (occurs(Faults.LostRequest)) {
    loseReply(done);
    return;
  }
  if (occurs(Faults.LateEffect)) {
    const auto late = static_cast<std::int64_t>(
        core::uniformIndex(Random, static_cast<std::size_t>(MaxLateMs)));
    Time.after(core::Millis(late), [=, this] { apply(command); });
    loseReply(done);
    return;
  }
  if (occurs(Faults.Duplicate))
    Time.after(delay() * 10, [=, this] { apply(command); });
  const bool lost = occurs(Faults.LostReply);
  const core::Millis back = delay();
  Time.after(delay(), [=, this] {
    const bool swapped = fakesSeal(command, isOwner) || apply(command);
    if (lost) {
      loseReply(done);
      return;
    }
    const SwapStatus status =
        swapped ? SwapStatus::Swapped : SwapStatus::Mismatch;
    Time.after(back, [=] { done(status); });
  });
}

void SimulatedStore::call(const StoreCommand &command, bool isOwner,
                          const std::function<void(StoreReply)> &done) {
  ++CallCount;
  const bool fails = IsDown || occurs(Faults.Unavailable);
  std::visit(
      core::Overloaded{[&](const SwapKey &x) {
                         if (fails)
                           Time.after(delay(),
                                      [=] { done(SwapStatus::Unavailable); });
                         else
                           swap(x, isOwner, done);
                       },
                       [&](const ReadKey &x) {
                         const core::Millis back = delay();
                         Time.after(delay(), [=, this] {
                           const ReadReply reply =
                               fails ? ReadReply(core::Errc::StoreUnavailable)
                                     : read(x.Key, isOwner);
                           Time.after(back, [=] { done(reply); });
                         });
                       }},
      command);
}

} // namespace cowslipridge::ledger::simulation
