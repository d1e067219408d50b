#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/route/Types.hpp"
#include "support/FakeRunner.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace cowslipridge::bench {

/// Size of the fleet, and how entries receive reports of runners.
struct FleetSettings {
  std::size_t Runners = 12;
  std::size_t Domains = 3;
  std::size_t Entries = 4;
  RunnerSpeeds Speeds;
  core::Millis ReportInterval{250};
  core::Millis ReportDelay{50};
  double CacheEventLoss = 0; ///< probability that an entry misses an event
};

/// Simulates runners and each entry's view of them, which consists of delayed
/// load reports and of the entry's own calls that no report covers yet.
class FakeFleet {
public:
  /// Called for each cache event that an entry receives.
  using CacheEventHandler =
      std::function<void(std::size_t entry, std::size_t runner,
                         std::uint64_t block, bool evicted)>;

  FakeFleet(EventQueue &events, FleetSettings settings, std::uint64_t seed,
            CacheEventHandler onCacheEvent);

  void submit(std::size_t entry, std::size_t runner, RunnerCall call);
  /// Fails a failure domain: its runners neither respond nor report from now
  /// on.
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
  struct SentCall {
    core::Millis At;
    bool Ended = false;
  };

  void publishReports();
  void applyReport(std::size_t runner, unsigned inFlight, unsigned queued,
                   core::Millis reportedAt);
  void publishCacheEvent(std::size_t runner, std::uint64_t block, bool evicted);
  void updateSentSinceReport(std::size_t entry, std::size_t runner);

  EventQueue &Events;
  FleetSettings Settings;
  core::Random Generator;
  CacheEventHandler OnCacheEvent;
  std::vector<std::unique_ptr<FakeRunner>> Runners;
  std::vector<bool> Failed;
  std::vector<std::vector<route::RunnerView>> Views; ///< by entry, runner
  std::vector<std::vector<std::vector<std::shared_ptr<SentCall>>>>
      Calls; ///< by entry, runner
};

} // namespace cowslipridge::bench
