#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/Types.hpp"
#include "support/FakeRunner.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace cowslipridge::bench {

/// How entries learn of runners.
struct FleetSettings {
  std::size_t Runners = 12;
  std::size_t Domains = 3;
  std::size_t Entries = 4;
  RunnerSpeeds Speeds;
  core::Millis ReportInterval{250};
  core::Millis ReportDelay{50};
  double CacheEventLoss = 0;
};

/// Runners and what each entry knows of them: load reports that arrive late,
/// and its own calls that no report covers yet.
class FakeFleet {
public:
  /// Told of a cache event that reaches an entry.
  using CacheSink = std::function<void(std::size_t entry, std::size_t runner,
                                       std::uint64_t block, bool evicted)>;

  FakeFleet(EventQueue &events, FleetSettings settings, std::uint64_t seed,
            CacheSink sink);

  void submit(std::size_t entry, std::size_t runner, RunnerCall call);
  /// A failure domain goes away: its runners answer nothing and report nothing.
  void failDomain(std::size_t domain);
  [[nodiscard]] FakeRunner &runner(std::size_t n) { return *Runners[n]; }
  [[nodiscard]] const std::vector<route::RunnerView> &
  views(std::size_t entry) const {
    return Views[entry];
  }
  [[nodiscard]] const FleetSettings &settings() const { return Settings; }
  static core::RunnerId idOf(std::size_t runner);
  static std::size_t indexOf(const core::RunnerId &runner);
  static core::VersionId version() { return core::VersionId("fit@1"); }

private:
  struct Sent {
    core::Millis At;
    bool Ended = false;
  };

  void publishReports();
  void takeReport(std::size_t runner, unsigned inFlight, unsigned queued,
                  core::Millis reportedAt);
  void publishCacheEvent(std::size_t runner, std::uint64_t block, bool evicted);
  void recount(std::size_t entry, std::size_t runner);

  EventQueue &Events;
  FleetSettings Settings;
  core::Random Generator;
  CacheSink Sink;
  std::vector<std::unique_ptr<FakeRunner>> Runners;
  std::vector<bool> Lost;
  std::vector<std::vector<route::RunnerView>> Views; ///< by entry, runner
  std::vector<std::vector<std::vector<std::shared_ptr<Sent>>>> Calls;
};

} // namespace cowslipridge::bench
