#include "property/platform/RestoreSimulation.hpp"

#include "cowslipridge/platform/Documents.hpp"

#include <algorithm>

namespace cowslipridge::platform {

namespace {

using core::Millis;
using standins::platform::MetadataStore;
using standins::platform::StoredItem;

constexpr const char *CommandKey = "op/rollout/llm";
constexpr const char *CommandValue =
    R"({"service":"llm","target":"v2","durationS":8})";
const core::ServiceId Service("llm");
constexpr rollout::ExposureLimit Exposure{0.15, 0};
constexpr std::size_t MaxCopies = 4;
constexpr int SettlingRounds = 400;
constexpr Millis SettlingInterval{100};
/// As in gateways: time for the reports of peers before the first decision.
constexpr Millis PeerReportWait{500};

StoreItem toItem(const StoredItem &item) {
  return {item.Key, item.Value, item.Revision, item.Deleted};
}

/// Leaves only the conditions on the revisions of status and progress.
void withoutMarkers(StoreTransaction &transaction) {
  std::erase_if(transaction.Conditions, [](const auto &it) {
    return RolloutRecords::parseMarkerKey(it.Key).has_value();
  });
}

} // namespace

RestoreSimulation::RestoreSimulation(bool guarded) : Guarded(guarded) {
  for (std::size_t n = 0; n < GatewayCount; ++n)
    restart(n);
  copyStore();
  command();
}

void RestoreSimulation::fail(const std::string &what) {
  if (!Violation)
    Violation = what;
}

void RestoreSimulation::restart(std::size_t gateway) {
  Gateways.at(gateway) = {};
  Gateways.at(gateway).Trials.emplace(Exposure);
  Gateways.at(gateway).StartedAt = Now;
  ReadRecords.at(gateway) = {};
}

void RestoreSimulation::copyStore() {
  Copies.push_back(Store);
  if (Copies.size() > MaxCopies)
    Copies.erase(Copies.begin());
}

void RestoreSimulation::restore(std::size_t copy) {
  Store.restore(Copies.at(copy % Copies.size()));
}

void RestoreSimulation::command() {
  const auto item = Store.get(CommandKey);
  if (!item)
    Store.put(CommandKey, CommandValue);
}

RestoreSimulation::RecordText
RestoreSimulation::recordIn(const MetadataStore &store) const {
  const auto valueOf = [&](const std::string &key) {
    const auto item = store.get(key);
    return item ? item->Value : std::string();
  };
  return {valueOf(RolloutRecords::statusKey(Service.str())),
          valueOf(RolloutRecords::progressKey(Service.str()))};
}

void RestoreSimulation::list(Gateway &gateway) {
  rollout::RolloutList list;
  list.AfterRestore = gateway.Position && gateway.Position->Era != Store.era();
  gateway.Records.clear();
  const auto items = Store.list("", "");
  for (const StoredItem &it : items)
    gateway.Records.record(toItem(it));
  for (const StoredItem &it : items) {
    if (it.Key == CommandKey)
      list.Commands.push_back(*parseRolloutOrder(it.Value));
    else if (const auto service = RolloutRecords::parseStatusKey(it.Key))
      list.Statuses.push_back(*parseRolloutStatus(*service, it.Value));
    else if (const auto name = RolloutRecords::parseProgressKey(it.Key))
      list.Progresses.push_back(*parseProgress(*name, it.Value));
  }
  gateway.Trials->onListed(list, Now);
  gateway.Position = StorePosition{Store.era(), Store.revision()};
}

void RestoreSimulation::applyChange(Gateway &gateway, const StoreItem &item) {
  gateway.Records.record(item);
  if (item.Key == CommandKey)
    gateway.Trials->onCommand(*parseRolloutOrder(item.Value), Now);
  if (const auto service = RolloutRecords::parseStatusKey(item.Key))
    gateway.Trials->onStatus(*parseRolloutStatus(*service, item.Value), Now);
  if (const auto name = RolloutRecords::parseProgressKey(item.Key))
    gateway.Trials->onProgress(*parseProgress(*name, item.Value), Now);
}

void RestoreSimulation::sync(std::size_t gateway) {
  Gateway &it = Gateways.at(gateway);
  const bool sameEra = it.Position && it.Position->Era == Store.era();
  const auto changes =
      sameEra ? Store.changes("", it.Position->Revision) : std::nullopt;
  if (changes) {
    for (const StoredItem &change : *changes)
      applyChange(it, toItem(change));
    it.Position->Revision = Store.revision();
  } else {
    list(it);
  }
  ReadRecords.at(gateway) = recordIn(Store);
  it.Trials->tick(Now);
  checkNeverBack(it);
}

void RestoreSimulation::decide(std::size_t gateway) {
  Gateway &it = Gateways.at(gateway);
  if (!it.Position || Now - it.StartedAt < PeerReportWait)
    return;
  rollout::TrialControl::Observation observation;
  observation.TargetHasRunner = true;
  observation.Rank = gateway;
  const auto decision = it.Trials->next(Service, observation, Now);
  if (!decision)
    return;
  StoreTransaction transaction = it.Records.replace(
      decision->Status, decision->Progress, std::to_string(++LastId));
  if (!Guarded)
    withoutMarkers(transaction);
  Delayed.push_back({std::move(transaction), ReadRecords.at(gateway)});
}

void RestoreSimulation::execute() {
  if (Delayed.empty())
    return;
  const DelayedTransaction it = Delayed.front();
  Delayed.erase(Delayed.begin());
  const RecordText before = recordIn(Store);
  std::vector<standins::platform::StoreCondition> conditions;
  for (const StoreCondition &condition : it.Transaction.Conditions)
    conditions.push_back({condition.Key, condition.Revision});
  std::vector<standins::platform::StoreWrite> writes;
  for (const StoreWrite &write : it.Transaction.Writes)
    writes.push_back({write.Key, write.Value, write.Lease});
  const auto outcome =
      Store.transact(conditions, writes, it.Transaction.Removals);
  if (outcome == MetadataStore::Outcome::Committed && before != it.Read)
    fail("a transaction replaced a record that its writer had not read");
}

void RestoreSimulation::report(std::size_t from, std::size_t to) {
  if (from == to)
    return;
  Gateways.at(to).Trials->onPeerKnowledge(
      Gateways.at(from).Trials->knowledge(Now), Now);
  checkNeverBack(Gateways.at(to));
}

void RestoreSimulation::checkNeverBack(Gateway &gateway) {
  const auto known = gateway.Trials->knowledge(Now);
  if (gateway.Known && known.empty()) {
    fail("a gateway dropped its roll-out");
    return;
  }
  if (known.empty())
    return;
  if (gateway.Known && known.front().Step < gateway.Known->Step)
    fail("the step of a roll-out went back");
  if (gateway.Known &&
      gateway.Known->Phase != rollout::RolloutPhase::InProgress &&
      known.front().Phase != gateway.Known->Phase)
    fail("a roll-out that had ended changed its phase");
  gateway.Known = known.front();
}

void RestoreSimulation::settle() {
  command();
  for (int n = 0; n < SettlingRounds; ++n) {
    advance(SettlingInterval);
    for (std::size_t gateway = 0; gateway < GatewayCount; ++gateway) {
      sync(gateway);
      decide(gateway);
      report(gateway, (gateway + 1) % GatewayCount);
    }
    while (!Delayed.empty())
      execute();
  }
  const auto status = Store.get(RolloutRecords::statusKey(Service.str()));
  if (!status) {
    fail("the record of the roll-out is missing");
    return;
  }
  const auto stored = parseRolloutStatus(Service.str(), status->Value);
  for (Gateway &it : Gateways) {
    if (it.Known && it.Known->Phase != stored->Phase)
      fail("the store does not show the phase that a gateway knows");
  }
  if (stored->Phase == rollout::RolloutPhase::InProgress)
    fail("the roll-out did not end");
}

} // namespace cowslipridge::platform
