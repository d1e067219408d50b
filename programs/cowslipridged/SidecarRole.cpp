#include "SidecarRole.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/runner/EngineRunner.hpp"
#include "cowslipridge/runner/PlainRunner.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>

namespace cowslipridge::daemon {

namespace {

/// Leaving rides on replies for this long before new requests are refused.
constexpr core::Millis DrainNotice{500};
/// Time to write out the journal at the end.
constexpr std::chrono::seconds JournalCloseTimeout{30};
/// A neighbour that is not listed for this long is taken over.
constexpr core::Millis LostAfter{5'000};
/// Longest silence of a runner within one answer.
constexpr core::Millis RunnerSilence{120'000};

sidecar::SidecarSettings toSidecarSettings(const ProcessContext &process) {
  sidecar::SidecarSettings settings;
  settings.Instance = process.Settings.Instance;
  settings.Start = process.Start;
  settings.Service = process.Settings.Runner->Service;
  settings.Versions = process.Settings.Runner->Versions;
  return settings;
}

rpc::ServerSettings toServerSettings(const ProcessContext &process) {
  rpc::ServerSettings settings;
  settings.Address = process.Settings.Address;
  settings.Port = process.Settings.RpcPort;
  settings.FleetKey = fromHex(process.Settings.FleetKey);
  return settings;
}

} // namespace

SidecarRole::SidecarRole(ProcessContext &process, rpc::ConfigurationPort source)
    : Process(process) {
  Work = std::make_shared<sidecar::Sidecar>(
      Process.Loop, Process.Time, Process.Events, toSidecarSettings(Process),
      std::move(source),
      [this](const config::ServiceDeclaration &service) {
        return openJournal(service);
      },
      [this](config::ServiceKind kind) { return makeRunner(kind); });
  Rollout = std::make_unique<RolloutService>(Process, Work);
  Port = std::make_unique<rpc::Server>(Process.Loop, toServerSettings(Process),
                                       Work, Process.Events);
}

SidecarRole::~SidecarRole() {
  Port.reset();
  Process.Loop.call([this] {
    Rollout.reset();
    Work.reset();
  });
}

bool SidecarRole::start() {
  if (const std::error_code ec = Port->open()) {
    Process.Events.report(
        observe::EventNumber::SettingsRefused,
        {{}, {}, {}, "the RPC port cannot be bound: " + ec.message()});
    return false;
  }
  Process.Loop.call([this] { Work->startTicking(); });
  Rollout->start();
  return true;
}

std::shared_ptr<ledger::Ledger>
SidecarRole::openJournal(const config::ServiceDeclaration &service) {
  ledger::LedgerSettings settings;
  settings.Instance = Process.Settings.Instance;
  settings.Start = Process.Start;
  settings.Service = service.Name;
  settings.Shards = service.Shards;
  settings.DedupWindow = service.DedupWindow;
  auto journal = std::make_shared<ledger::Ledger>(settings, Process.Keys,
                                                  Process.Time, Process.Events);
  journal->start([this](std::error_code ec) { JournalOpen = !ec; });
  return journal;
}

std::shared_ptr<runner::Runner>
SidecarRole::makeRunner(config::ServiceKind kind) {
  const std::string &address = Process.Settings.Runner->Address;
  if (kind == config::ServiceKind::Plain)
    return std::make_shared<runner::PlainRunner>(address, RunnerSilence);
  return std::make_shared<runner::EngineRunner>(address, RunnerSilence);
}

void SidecarRole::drain() {
  Process.Loop.post([work = Work] { work->announceDraining(); });
  Process.Loop.postAfter(DrainNotice, [this, work = Work] {
    work->drain();
    Refusing = true;
  });
}

bool SidecarRole::idle() const {
  bool done = false;
  Process.Loop.call([&] { done = Work->idle(); });
  return Refusing && done;
}

// All answers have ended: the journal writes what it still holds.
void SidecarRole::stop() {
  Rollout->stop();
  std::shared_ptr<ledger::Ledger> journal;
  Process.Loop.call([&] { journal = Work->journal(); });
  if (journal) {
    auto closed = std::make_shared<std::promise<void>>();
    journal->close([closed] { closed->set_value(); });
    closed->get_future().wait_for(JournalCloseTimeout);
  }
  Port->close();
}

void SidecarRole::configure(std::shared_ptr<const config::Bundle> bundle) {
  Rollout->configure(*bundle);
  Process.Loop.post([work = Work, bundle = std::move(bundle)]() mutable {
    work->configure(std::move(bundle));
  });
}

// A sidecar connects to no peer; entries that are ahead hand over.
void SidecarRole::fetchBundle(
    const core::InstanceId & /*peer*/,
    std::function<void(core::Result<std::string>)> done) {
  done(core::Errc::NoRunner);
}

bool SidecarRole::ready() const { return !Process.Leaving && JournalOpen; }

// A sidecar takes no callers.
void SidecarRole::handle(http::Request /*message*/,
                         std::shared_ptr<http::Responder> responder) {
  http::Problem problem;
  problem.Slug = core::slug(core::Errc::UnknownService);
  problem.Title = "a sidecar takes no callers";
  problem.Status = core::httpStatus(core::Errc::UnknownService);
  responder->respond(http::makeProblem(problem));
}

void SidecarRole::applyInstanceList(
    std::vector<backing::InstanceRecord> records) {
  Process.Loop.post([this, records = std::move(records)] {
    const auto journal = Work->journal();
    if (!journal)
      return;
    const auto sidecars =
        std::count_if(records.begin(), records.end(), [](const auto &x) {
          return x.Kind == backing::Role::Sidecar;
        });
    journal->setFleetSize(std::max<std::size_t>(1, sidecars));
    takeOverLost(*journal, records);
    Rollout->applyInstanceList(records);
  });
}

// A sidecar of the same service that has left the list for good may be dead.
// Sealing its journal is safe even if it is not.
void SidecarRole::takeOverLost(
    ledger::Ledger &journal,
    const std::vector<backing::InstanceRecord> &records) {
  const core::Millis now = Process.Time.monotonic();
  for (const backing::InstanceRecord &it : records) {
    const bool same = it.Kind == backing::Role::Sidecar &&
                      it.Service == Process.Settings.Runner->Service &&
                      it.Name != Process.Settings.Instance;
    if (same)
      Neighbours[it.Name] = now;
  }
  for (auto it = Neighbours.begin(); it != Neighbours.end();) {
    if (now - it->second < LostAfter) {
      ++it;
      continue;
    }
    journal.takeOver(it->first, [](std::error_code) {});
    it = Neighbours.erase(it);
  }
}

std::string SidecarRole::statusJson() {
  rpc::PeerStatus now;
  std::size_t pending = 0;
  Process.Loop.call([&] {
    now = Work->status();
    if (const auto journal = Work->journal())
      pending = journal->pending();
  });
  const nlohmann::json status = {
      {"role", "sidecar"},
      {"service", Process.Settings.Runner->Service.str()},
      {"generation", now.Configuration.value()},
      {"in_flight", now.InFlight},
      {"queued", now.Queued},
      {"concurrency_limit", now.ConcurrencyLimit},
      {"predicted_wait_ms", now.PredictedWait.count()},
      {"records_pending", pending},
      {"cut_offs", now.CutOffs.size()}};
  return status.dump();
}

std::string SidecarRole::explainJson(const core::RequestId & /*request*/) {
  return {};
}

} // namespace cowslipridge::daemon
