#include "EntryRole.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::daemon {

namespace {

/// Readiness checks fail for this long before new requests are refused, so that
/// load balancers can stop sending requests first.
constexpr core::Millis DrainRefusalDelay{800};

entry::EntrySettings toEntrySettings(const ProcessContext &process) {
  entry::EntrySettings settings;
  settings.Instance = process.Settings.Instance;
  settings.Start = process.Start;
  settings.FleetKey = fromHex(process.Settings.FleetKey);
  settings.SessionKey = fromHex(process.Settings.SessionKey);
  settings.Seed = process.Start.value();
  return settings;
}

nlohmann::json toJson(const membership::Member &member) {
  constexpr const char *Names[] = {"live", "suspect", "leaving", "removed"};
  return {{"instance", member.Record.Name.str()},
          {"incarnation", member.Record.Start.value()},
          {"service", member.Record.Service.str()},
          {"state", Names[static_cast<int>(member.State)]}};
}

} // namespace

EntryRole::EntryRole(ProcessContext &process, rpc::ConfigurationPort source)
    : Process(process), Entry(std::make_shared<entry::Entry>(
                            process.Loop, process.Time, process.Events,
                            toEntrySettings(process), std::move(source))) {}

// The entry's connections must be destroyed on the event loop's thread.
EntryRole::~EntryRole() {
  Process.Loop.call([this] { Entry.reset(); });
}

bool EntryRole::start() {
  Process.Loop.call([this] { Entry->startTicking(); });
  return true;
}

void EntryRole::drain() {
  Process.Loop.postAfter(DrainRefusalDelay, [this, entry = Entry] {
    entry->drain();
    Refusing = true;
  });
}

bool EntryRole::idle() const {
  std::size_t inFlight = 1;
  Process.Loop.call([&] { inFlight = Entry->inFlight(); });
  return Refusing && inFlight == 0;
}

// The configuration that the entry uses is destroyed before the entry.
void EntryRole::stop() {
  Process.Loop.call([this] { Entry->close(); });
}

void EntryRole::configure(std::shared_ptr<const config::Bundle> bundle) {
  Entry->configure(std::move(bundle));
}

void EntryRole::fetchBundle(
    const core::InstanceId &peer,
    std::function<void(core::Result<std::string>)> done) {
  Process.Loop.post([entry = Entry, peer, done = std::move(done)] {
    entry->fetchBundle(peer,
                       [done](const core::Result<rpc::BundleContent> &bundle) {
                         if (bundle.ok())
                           done(bundle->Content);
                         else
                           done(bundle.error());
                       });
  });
}

bool EntryRole::ready() const {
  return !Process.Draining && Entry->configuration() != nullptr;
}

void EntryRole::handle(http::Request message,
                       std::shared_ptr<http::Responder> responder) {
  Entry->handle(std::move(message), std::move(responder));
}

void EntryRole::applyInstanceList(
    std::vector<backing::InstanceRecord> records) {
  Process.Loop.post([entry = Entry, records = std::move(records)] {
    entry->context().Peers->applyInstanceList(records);
  });
}

std::string EntryRole::statusJson() {
  nlohmann::json status = {{"role", "entry"}};
  const auto bundle = Entry->configuration();
  status["generation"] = bundle ? bundle->Number.value() : 0;
  Process.Loop.call([&] {
    status["in_flight"] = Entry->inFlight();
    status["members"] = nlohmann::json::array();
    for (const membership::Member &it :
         Entry->context().Peers->directory().all())
      status["members"].push_back(toJson(it));
  });
  return status.dump();
}

std::string EntryRole::explainJson(const core::RequestId &request) {
  const auto found = Entry->explanations().find(request);
  return found ? entry::toJson(*found) : std::string();
}

} // namespace cowslipridge::daemon
