#include "support/FakeFleet.hpp"

namespace cowslipridge::bench {

FakeFleet::FakeFleet(EventQueue &events, FleetSettings settings,
                     std::uint64_t seed, CacheEventHandler onCacheEvent)
    : Events(events), Settings(settings), Generator(seed),
      OnCacheEvent(std::move(onCacheEvent)), Failed(settings.Runners) {
  std::vector<route::RunnerView> views;
  for (std::size_t n = 0; n < Settings.Runners; ++n) {
    Runners.push_back(std::make_unique<FakeRunner>(
        Events, Settings.Speeds, [this, n](std::uint64_t block, bool evicted) {
          publishCacheEvent(n, block, evicted);
        }));
    route::RunnerView view;
    view.Runner = idOf(n);
    view.Domain =
        core::FailureDomainId("d" + std::to_string(n % Settings.Domains));
    view.Versions = {version()};
    view.ConcurrencyLimit = Settings.Speeds.Slots;
    views.push_back(view);
  }
  Views.assign(Settings.Entries, views);
  Calls.assign(
      Settings.Entries,
      std::vector<std::vector<std::shared_ptr<SentCall>>>(Settings.Runners));
  publishReports();
}

core::RunnerId FakeFleet::idOf(std::size_t runner) {
  return core::RunnerId("runner-" + std::to_string(runner));
}

std::size_t FakeFleet::indexOf(const core::RunnerId &runner) {
  return std::stoul(runner.str().substr(runner.str().find('-') + 1));
}

void FakeFleet::submit(std::size_t entry, std::size_t runner, RunnerCall call) {
  const auto sent = std::make_shared<SentCall>(SentCall{Events.now(), false});
  Calls[entry][runner].push_back(sent);
  updateSentSinceReport(entry, runner);
  const auto onEnd = call.OnEnd;
  call.OnEnd = [this, entry, runner, sent, onEnd] {
    sent->Ended = true;
    updateSentSinceReport(entry, runner);
    onEnd();
  };
  if (!Failed[runner])
    Runners[runner]->submit(std::move(call));
}

void FakeFleet::updateSentSinceReport(std::size_t entry, std::size_t runner) {
  route::RunnerView &view = Views[entry][runner];
  auto &calls = Calls[entry][runner];
  std::erase_if(calls, [](const auto &sent) { return sent->Ended; });
  view.SentSinceReport = 0;
  for (const auto &sent : calls)
    view.SentSinceReport += sent->At > view.ReportReceivedAt;
}

void FakeFleet::publishReports() {
  for (std::size_t n = 0; n < Settings.Runners; ++n) {
    if (Failed[n])
      continue;
    Events.after(Settings.ReportDelay,
                 [this, n, inFlight = Runners[n]->running(),
                  queued = Runners[n]->queued(),
                  at = Events.now()] { applyReport(n, inFlight, queued, at); });
  }
  Events.after(Settings.ReportInterval, [this] { publishReports(); });
}

void FakeFleet::applyReport(std::size_t runner, unsigned inFlight,
                            unsigned queued, core::Millis reportedAt) {
  for (std::size_t entry = 0; entry < Settings.Entries; ++entry) {
    route::RunnerView &view = Views[entry][runner];
    view.InFlight = inFlight;
    view.Queued = queued;
    view.ReportReceivedAt = reportedAt;
    updateSentSinceReport(entry, runner);
  }
}

void FakeFleet::publishCacheEvent(std::size_t runner, std::uint64_t block,
                                  bool evicted) {
  for (std::size_t entry = 0; entry < Settings.Entries; ++entry) {
    if (core::uniform(Generator) < Settings.CacheEventLoss)
      continue;
    Events.after(Settings.ReportDelay, [this, entry, runner, block, evicted] {
      OnCacheEvent(entry, runner, block, evicted);
    });
  }
}

void FakeFleet::failDomain(std::size_t domain) {
  for (std::size_t n = domain; n < Settings.Runners; n += Settings.Domains) {
    Failed[n] = true;
    Runners[n]->freeze();
  }
}

} // namespace cowslipridge::bench
