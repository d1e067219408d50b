#include "store_economy/CountingStore.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <cmath>

namespace cowslipridge::store_economy {

using backing::SwapStatus;
using ledger::ReadKey;
using ledger::ReadReply;
using ledger::StoreReply;
using ledger::SwapKey;

namespace {

constexpr double FixedDelayMs = 2;
constexpr double MeanExtraDelayMs = 2;

} // namespace

void Timeline::at(core::Millis time, std::function<void()> task) {
  Tasks.push({std::max(time, Now), NextOrder++, std::move(task)});
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

StoreReply CountingStore::apply(const ledger::StoreCommand &command) {
  return std::visit(
      core::Overloaded{
          [&](const SwapKey &x) -> StoreReply {
            ++Counts.Writes;
            Counts.Bytes += x.Value.size();
            const auto it = Entries.find(x.Key);
            if ((it == Entries.end() ? 0 : it->second.ModifiedAt) !=
                x.Expected) {
              ++Counts.Mismatches;
              return SwapStatus::Mismatch;
            }
            Entries[x.Key] = {x.Key, x.Value, ++LastRevision};
            return SwapStatus::Swapped;
          },
          [&](const ReadKey &x) -> StoreReply {
            ++Counts.Reads;
            const auto it = Entries.find(x.Key);
            if (it == Entries.end())
              return ReadReply(std::optional<backing::StoreEntry>());
            Counts.Bytes += it->second.Value.size();
            return ReadReply(std::optional(it->second));
          }},
      command);
}

void CountingStore::call(ledger::StoreCommand command,
                         const std::function<void(StoreReply)> &done) {
  std::exponential_distribution<double> extra(1 / MeanExtraDelayMs);
  const auto half =
      core::Millis(std::llround((FixedDelayMs + extra(Random)) / 2));
  Time.at(Time.now() + half, [=, this, command = std::move(command)] {
    const StoreReply reply = apply(command);
    Time.at(Time.now() + half, [=] { done(reply); });
  });
}

} // namespace cowslipridge::store_economy
