#include "cowslipridge/rollout/RolloutStepper.hpp"

#include <utility>

namespace cowslipridge::rollout {

namespace {

std::string recordKey(const core::ServiceId &service) {
  return "cowslipridge/rollout/" + service.str();
}

RolloutRecord applyAll(RolloutRecord record,
                       const std::vector<RolloutAction> &actions) {
  for (const RolloutAction &it : actions)
    record = apply(std::move(record), it);
  return record;
}

} // namespace

RolloutStepper::RolloutStepper(
    std::shared_ptr<backing::Store> store,
    std::function<void(const RolloutRecord &)> onRecord)
    : Store(std::move(store)), OnRecord(std::move(onRecord)) {}

void RolloutStepper::configure(const config::ServiceDeclaration &service,
                               core::Generation generation) {
  {
    const std::lock_guard lock(Guard);
    Service = service.Name;
    Declared = service.Rollout;
    Configuration = generation;
  }
  refresh();
}

void RolloutStepper::perform(const RolloutAction &action) {
  {
    const std::lock_guard lock(Guard);
    Pending.push_back(action);
  }
  refresh();
}

void RolloutStepper::refresh() {
  {
    const std::lock_guard lock(Guard);
    if (!Declared)
      return;
    AskedAgain = Busy;
    if (std::exchange(Busy, true))
      return;
  }
  readRecord();
}

std::size_t RolloutStepper::pending() const {
  const std::lock_guard lock(Guard);
  return Pending.size();
}

void RolloutStepper::readRecord() {
  Store->get(recordKey(Service),
             [self = shared_from_this()](const core::Result<Entry> &entry) {
               self->onRead(entry);
             });
}

// What is to be done after a read. Only what the store holds is reported.
RolloutStepper::NextMove
RolloutStepper::decide(const core::Result<Entry> &entry) {
  const std::lock_guard lock(Guard);
  NextMove move;
  Busy = false;
  if (!entry || !Declared)
    return move;
  if (*entry) {
    const auto decoded = decodeRecord((*entry)->Value);
    if (!decoded)
      return move; // a damaged record is never overwritten
    move.Stored = *decoded;
  }
  const auto current = currentRecord(move.Stored, *Declared, Configuration);
  if (!current) {
    move.Stored.reset();
    return move;
  }
  const RolloutRecord wanted = applyAll(*current, Pending);
  if (move.Stored != wanted)
    move.Wanted = wanted;
  else
    Pending.clear();
  move.ReadsAgain = std::exchange(AskedAgain, false) && !move.Wanted;
  Busy = move.Wanted || move.ReadsAgain;
  return move;
}

void RolloutStepper::onRead(const core::Result<Entry> &entry) {
  const NextMove move = decide(entry);
  if (move.Stored)
    OnRecord(*move.Stored);
  if (move.Wanted)
    writeRecord(*move.Wanted, *entry ? (*entry)->ModifiedAt : 0);
  else if (move.ReadsAgain)
    readRecord();
}

// What a write did is learnt by reading, whatever its reply said.
void RolloutStepper::writeRecord(const RolloutRecord &record,
                                 backing::Revision expected) {
  Store->compareAndSwap(
      recordKey(Service), encodeRecord(record), expected,
      [self = shared_from_this()](backing::SwapResult result) {
        if (result.Status != backing::SwapStatus::Unavailable) {
          self->readRecord();
          return;
        }
        const std::lock_guard lock(self->Guard);
        self->Busy = false; // the next refresh() tries again
      });
}

} // namespace cowslipridge::rollout
