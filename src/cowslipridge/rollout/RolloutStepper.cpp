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
    const std::lock_guard lock(Mutex);
    Service = service.Name;
    Declared = service.Rollout;
    Configuration = generation;
  }
  refresh();
}

void RolloutStepper::perform(const RolloutAction &action) {
  {
    const std::lock_guard lock(Mutex);
    Pending.push_back(action);
  }
  refresh();
}

void RolloutStepper::refresh() {
  {
    const std::lock_guard lock(Mutex);
    if (!Declared)
      return;
    RefreshRequested = OperationInProgress;
    if (std::exchange(OperationInProgress, true))
      return;
  }
  readRecord();
}

std::size_t RolloutStepper::pending() const {
  const std::lock_guard lock(Mutex);
  return Pending.size();
}

void RolloutStepper::readRecord() {
  Store->get(recordKey(Service),
             [self = shared_from_this()](const core::Result<Entry> &entry) {
               self->onRead(entry);
             });
}

// Returns the operation that follows a read. Only stored records are reported.
RolloutStepper::NextOperation
RolloutStepper::decide(const core::Result<Entry> &entry) {
  const std::lock_guard lock(Mutex);
  NextOperation operation;
  OperationInProgress = false;
  if (!entry || !Declared)
    return operation;
  if (*entry) {
    const auto decoded = decodeRecord((*entry)->Value);
    if (!decoded)
      return operation; // a damaged record is never overwritten
    operation.Stored = *decoded;
  }
  const auto current =
      currentRecord(operation.Stored, *Declared, Configuration);
  if (!current) {
    operation.Stored.reset();
    return operation;
  }
  const RolloutRecord desired = applyAll(*current, Pending);
  if (operation.Stored != desired)
    operation.Desired = desired;
  else
    Pending.clear();
  operation.ReadAgain =
      std::exchange(RefreshRequested, false) && !operation.Desired;
  OperationInProgress = operation.Desired || operation.ReadAgain;
  return operation;
}

void RolloutStepper::onRead(const core::Result<Entry> &entry) {
  const NextOperation operation = decide(entry);
  if (operation.Stored)
    OnRecord(*operation.Stored);
  if (operation.Desired)
    writeRecord(*operation.Desired, *entry ? (*entry)->ModifiedAt : 0);
  else if (operation.ReadAgain)
    readRecord();
}

// After a write the record is read again whatever the reply was, since the
// reply does not always say whether the write took effect.
void RolloutStepper::writeRecord(const RolloutRecord &record,
                                 backing::Revision expected) {
  Store->compareAndSwap(
      recordKey(Service), encodeRecord(record), expected,
      [self = shared_from_this()](backing::SwapResult result) {
        if (result.Status != backing::SwapStatus::Unavailable) {
          self->readRecord();
          return;
        }
        const std::lock_guard lock(self->Mutex);
        self->OperationInProgress = false; // the next refresh() tries again
      });
}

} // namespace cowslipridge::rollout
