#include "SidecarRole.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/runner/EngineRunner.hpp"
#include "cowslipridge/runner/PlainRunner.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>

namespace cowslipridge::daemon {

namespace {

/// Replies announce the draining for this long before new requests are refused.
constexpr core::Millis DrainRefusalDelay{500};
/// Timeout for flushing the journal at shutdown.
constexpr std::chrono::seconds JournalCloseTimeout{30};
/// The journal of another sidecar is taken over once the sidecar has been
/// missing from the instance list for this long.
constexpr core::Millis TakeoverDelay{5'000};
/// Idle timeout of a runner within one answer.
constexpr core::Millis RunnerIdleTimeout{120'000};

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
  Sidecar = std::make_shared<sidecar::Sidecar>(
      Process.Loop, Process.Time, Process.Events, toSidecarSettings(Process),
      std::move(source),
      [this](const config::ServiceDeclaration &service) {
        return openJournal(service);
      },
      [this](config::ServiceKind kind) { return makeRunner(kind); });
  Rollout = std::make_unique<RolloutService>(Process, Sidecar);
  Port = std::make_unique<rpc::Server>(Process.Loop, toServerSettings(Process),
                                       Sidecar, Process.Events);
}

SidecarRole::~SidecarRole() {
  Port.reset();
  Process.Loop.call([this] {
    Rollout.reset();
    Sidecar.reset();
  });
}

bool SidecarRole::start() {
  if (const std::error_code ec = Port->open()) {
    Process.Events.report(
        observe::EventNumber::SettingsRefused,
        {{}, {}, {}, "cannot bind the RPC port: " + ec.message()});
    return false;
  }
  Process.Loop.call([this] { Sidecar->startTicking(); });
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
  auto journal = std::make_shared<ledger::Ledger>(settings, Process.Store,
                                                  Process.Time, Process.Events);
  journal->start([this](std::error_code ec) { JournalOpen = !ec; });
  return journal;
}

std::shared_ptr<runner::Runner>
SidecarRole::makeRunner(config::ServiceKind kind) {
  const std::string &address = Process.Settings.Runner->Address;
  if (kind == config::ServiceKind::Plain)
    return std::make_shared<runner::PlainRunner>(address, RunnerIdleTimeout);
  return std::make_shared<runner::EngineRunner>(address, RunnerIdleTimeout);
}

void SidecarRole::drain() {
  Process.Loop.post([sidecar = Sidecar] { sidecar->announceDraining(); });
  Process.Loop.postAfter(DrainRefusalDelay, [this, sidecar = Sidecar] {
    sidecar->drain();
    Refusing = true;
  });
}

bool SidecarRole::idle() const {
  bool done = false;
  Process.Loop.call([&] { done = Sidecar->idle(); });
  return Refusing && done;
}

// All answers have ended, so the journal can be flushed and closed.
void SidecarRole::stop() {
  Rollout->stop();
  std::shared_ptr<ledger::Ledger> journal;
  Process.Loop.call([&] { journal = Sidecar->journal(); });
  if (journal) {
    auto closed = std::make_shared<std::promise<void>>();
    journal->close([closed] { closed->set_value(); });
    closed->get_future().wait_for(JournalCloseTimeout);
  }
  Port->close();
}

void SidecarRole::configure(std::shared_ptr<const config::Bundle> bundle) {
  Rollout->configure(*bundle);
  Process.Loop.post([sidecar = Sidecar, bundle = std::move(bundle)]() mutable {
    sidecar->configure(std::move(bundle));
  });
}

// Sidecars do not connect to peers. Entries with a newer configuration send it
// to the sidecar.
void SidecarRole::fetchBundle(
    const core::InstanceId & /*peer*/,
    std::function<void(core::Result<std::string>)> done) {
  done(core::Errc::NoRunner);
}

bool SidecarRole::ready() const { return !Process.Draining && JournalOpen; }

// A sidecar serves no requests of callers over HTTP.
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
    const auto journal = Sidecar->journal();
    if (!journal)
      return;
    const auto sidecars =
        std::count_if(records.begin(), records.end(), [](const auto &x) {
          return x.Kind == backing::Role::Sidecar;
        });
    journal->setFleetSize(std::max<std::size_t>(1, sidecars));
    takeOverMissingSidecars(*journal, records);
    Rollout->applyInstanceList(records);
  });
}

// A sidecar of the same service that stays missing from the list may have
// failed. Sealing its journal is safe even if it is still running.
void SidecarRole::takeOverMissingSidecars(
    ledger::Ledger &journal,
    const std::vector<backing::InstanceRecord> &records) {
  const core::Millis now = Process.Time.monotonic();
  for (const backing::InstanceRecord &it : records) {
    const bool isSameServiceSidecar =
        it.Kind == backing::Role::Sidecar &&
        it.Service == Process.Settings.Runner->Service &&
        it.Name != Process.Settings.Instance;
    if (isSameServiceSidecar)
      LastListed[it.Name] = now;
  }
  for (auto it = LastListed.begin(); it != LastListed.end();) {
    if (now - it->second < TakeoverDelay) {
      ++it;
      continue;
    }
    journal.takeOver(it->first, [](std::error_code) {});
    it = LastListed.erase(it);
  }
}

std::string SidecarRole::statusJson() {
  rpc::PeerStatus now;
  std::size_t pending = 0;
  Process.Loop.call([&] {
    now = Sidecar->status();
    if (const auto journal = Sidecar->journal())
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
