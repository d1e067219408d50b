#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/observe/EventCatalogue.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cowslipridge::observe {

/// Monotonic counters.
enum class CounterName {
  Events,          ///< events reported, by event
  Requests,        ///< requests that ended, by service, version and outcome
  Refusals,        ///< requests refused, by service and reason
  Retries,         ///< requests retried, by service and previous outcome
  Attempts,        ///< attempts at a runner, by service, version and kind
  RunnerRefusals,  ///< refusals of runners, by service, version and statement
  BrokenAnswers,   ///< of runners, by service and version
  PromptTokens,    ///< prompt tokens processed, by service and version
  CachedTokens,    ///< prompt tokens found in a runner's cache
  AnswerTokens,    ///< answer tokens generated, by service and version
  StoreCalls,      ///< calls of the key-value service, by outcome
  StoreRestores,   ///< restores of the key-value service from older copies
  SuppressedLines, ///< suppressed log lines
};

/// Gauges: values that go up and down.
enum class GaugeName {
  InFlight,         ///< requests being answered, by service
  Queued,           ///< requests waiting for capacity, by service
  ConcurrencyLimit, ///< concurrent requests allowed at the runner, by service
  ConfigurationGeneration, ///< generation in effect
  ConfigurationAgeSeconds, ///< since last confirmed to be the newest
  JournalPending,          ///< records not yet committed to the journal
  MembersUsable,           ///< members that may receive requests
  TrialShare,          ///< share of requests for a trial version, by version
  Connections,         ///< open connections of callers
  RunnersEjected,      ///< runners that are temporarily ejected
  RetryBudgetLeft,     ///< retries allowed now, by service
  TrialEvidence,       ///< known answers of a trial, by version and outcome
  PeersReporting,      ///< other gateways whose reports are up to date
  SegmentsQuarantined, ///< prompt segments that are kept from runners
  RunnersRateLimited,  ///< runners that named a rate limit
  ContentsQuarantined, ///< requests that are kept from runners
  DomainsEvacuated,    ///< failure domains whose runners get nothing new
  RunnersCold,         ///< runners whose load is limited as they are cold
  BufferedBytes,       ///< bytes held for callers and runners
  RetryBudgetMembers,  ///< gateways that share the fixed retries; 0: no part
};

/// Histograms of durations.
enum class HistogramName {
  RequestSeconds,    ///< from arrival of a request to the end of its answer
  FirstTokenSeconds, ///< from arrival to the first part of the answer
  QueueSeconds,      ///< time spent waiting for capacity
  StoreCallSeconds,  ///< round trip of the key-value service
};

/// Labels of a sample; empty members are omitted. Use only declared names,
/// never text from a request, so that the number of time series is bounded.
struct MetricLabels {
  core::ServiceId Service;
  core::VersionId Version;
  std::string Outcome; ///< an outcome, or slug() of an error
};

/// One metric, as documented in docs/operators/metrics.md.
struct MetricEntry {
  std::string_view Name;
  std::string_view Help;
};

const MetricEntry &describe(CounterName name);
const MetricEntry &describe(GaugeName name);
const MetricEntry &describe(HistogramName name);
/// Returns all metrics in order of declaration.
std::span<const MetricEntry> metricCatalogue();

/// The metrics of one process. Thread-safe.
class Metrics {
public:
  Metrics(const core::InstanceId &instance,
          const core::FailureDomainId &domain);
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void add(CounterName name, const MetricLabels &labels, double amount = 1);
  /// Increments the counter of one event.
  void add(EventNumber event);
  void set(GaugeName name, const MetricLabels &labels, double value);
  void observe(HistogramName name, const MetricLabels &labels,
               core::Millis length);
  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string scrape() const;

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

/// The media type of scrape().
inline constexpr std::string_view ScrapeMediaType =
    "text/plain; version=0.0.4; charset=utf-8";

} // namespace cowslipridge::observe
