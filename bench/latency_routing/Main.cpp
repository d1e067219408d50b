#include "latency_routing/Policies.hpp"
#include "latency_routing/Prompts.hpp"
#include "support/Report.hpp"
#include "support/Seeds.hpp"

#include <cmath>
#include <gflags/gflags.h>

DEFINE_uint64(seeds, 20, "number of seeds");
DEFINE_uint32(threads, 4, "threads that run seeds");
DEFINE_string(out, ".", "folder for the CSV file and the plot");

using namespace cowslipridge;
using namespace cowslipridge::bench;
using namespace cowslipridge::bench::latency;

namespace {

/// Requests sent before this time are not measured.
constexpr core::Millis WarmUpTime{120'000};
/// Simulated time of one run.
constexpr core::Millis RunTime{600'000};

struct LatencyStats {
  double P50 = 0;
  double P95 = 0;
  double CachedShare = 0;
};

/// Simulates one workload with one policy at several independent entries.
class Run {
public:
  Run(const Shape &shape, const FleetSettings &settings, std::size_t policy,
      std::uint64_t seed)
      : Workload(shape), Prompts(shape, seed), Generator(seed),
        Fleet(Events, settings, seed,
              [this](std::size_t entry, std::size_t runner, std::uint64_t block,
                     bool evicted) {
                onCacheEvent(entry, runner, block, evicted);
              }) {
    for (std::size_t n = 0; n < settings.Entries; ++n)
      Entries.push_back(makePolicy(policy, seed * 100 + n));
  }

  LatencyStats run() {
    scheduleArrival();
    Events.runUntil(RunTime);
    return {quantile(FirstTokens, 0.5), quantile(FirstTokens, 0.95),
            CachedTokens / std::max(1.0, PromptTokens)};
  }

private:
  void scheduleArrival() {
    const double gap =
        drawInterarrivalMillis(Generator, Workload.RequestsPerSecond);
    Events.after(core::Millis(std::llround(gap)), [this] {
      onArrival();
      scheduleArrival();
    });
  }

  void onArrival() {
    const Prompt prompt = Prompts.draw(Generator);
    const std::size_t entry = core::uniformIndex(Generator, Entries.size());
    route::RequestContext request;
    request.PromptTokens = prompt.Tokens;
    request.PrefixHashes = prompt.PrefixHashes;
    const std::size_t runner =
        pickRunner(Entries[entry], request, Fleet.views(entry), Events.now());
    RunnerCall call;
    call.PrefixHashes = prompt.PrefixHashes;
    call.PromptTokens = prompt.Tokens;
    call.AnswerTokens = prompt.AnswerTokens;
    call.SentAt = Events.now();
    call.OnFirstToken = [this, entry, runner, request,
                         sentAt = Events.now()](std::uint64_t cached) {
      onFirstToken(entry, runner, request, sentAt, cached);
    };
    call.OnEnd = [] {};
    Fleet.submit(entry, runner, std::move(call));
  }

  void onFirstToken(std::size_t entry, std::size_t runner,
                    const route::RequestContext &request, core::Millis sentAt,
                    std::uint64_t cached) {
    const core::Millis elapsed = Events.now() - sentAt;
    if (auto *chooser = std::get_if<Chooser>(&Entries[entry]))
      chooser->Implementation->observe(
          route::AnswerObservation{FakeFleet::idOf(runner),
                                   request.PrefixHashes, request.PromptTokens,
                                   cached, elapsed, false},
          Events.now());
    if (sentAt < WarmUpTime)
      return;
    FirstTokens.push_back(static_cast<double>(elapsed.count()));
    CachedTokens += static_cast<double>(cached);
    PromptTokens += static_cast<double>(request.PromptTokens);
  }

  void onCacheEvent(std::size_t entry, std::size_t runner, std::uint64_t block,
                    bool evicted) {
    if (auto *chooser = std::get_if<Chooser>(&Entries[entry]))
      chooser->Implementation->observe(
          route::CacheEvent{FakeFleet::idOf(runner), block, evicted});
  }

  Shape Workload;
  PromptSource Prompts;
  core::Random Generator;
  EventQueue Events;
  FakeFleet Fleet;
  std::vector<Policy> Entries;
  std::vector<double> FirstTokens;
  double CachedTokens = 0;
  double PromptTokens = 0;
};

std::vector<Shape> listShapes() {
  Shape shared;
  shared.Name = "shared";
  Shape overflow = shared;
  overflow.Name = "shared-overflow";
  overflow.Families = 400;
  Shape hot = shared;
  hot.Name = "hot-prefix";
  hot.HotShare = 0.5;
  Shape distinct = shared;
  distinct.Name = "distinct";
  distinct.Shared = false;
  distinct.RequestsPerSecond = 6.5;
  Shape shortPrompts = shared;
  shortPrompts.Name = "short";
  shortPrompts.SystemPromptBlocks = 1;
  shortPrompts.MinHistoryBlocks = 1;
  shortPrompts.MaxHistoryBlocks = 2;
  shortPrompts.RequestsPerSecond = 20;
  return {shared, overflow, hot, distinct, shortPrompts};
}

void runShape(const Shape &shape, const std::string &suffix,
              const FleetSettings &settings, Report &report) {
  const auto names = policyNames();
  const auto results =
      runSeeds(FLAGS_seeds, FLAGS_threads, [&](std::uint64_t seed) {
        std::vector<LatencyStats> all;
        all.reserve(names.size());
        for (std::size_t n = 0; n < names.size(); ++n)
          all.push_back(Run(shape, settings, n, seed).run());
        return all;
      });
  for (const auto &stats : results) {
    for (std::size_t n = 0; n < names.size(); ++n) {
      const Report::RowKey row{shape.Name + suffix, names[n]};
      report.add(row, "p50 ms", stats[n].P50);
      report.add(row, "p95 ms", stats[n].P95);
      report.add(row, "round robin's p95 / p95", stats[0].P95 / stats[n].P95);
      report.add(row, "cached share", stats[n].CachedShare);
    }
  }
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Report report("time to first token");
  FleetSettings stale;
  stale.ReportDelay = core::Millis(2000);
  stale.CacheEventLoss = 1.0 / 3;
  for (const Shape &shape : listShapes()) {
    runShape(shape, "", FleetSettings(), report);
    runShape(shape, ", stale", stale, report);
  }
  report.print();
  report.write(FLAGS_out, "routing-latency", "p95 ms");
}
