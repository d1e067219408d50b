#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/observe/EventCatalogue.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cowslipridge::observe {

/// Counts that only grow.
enum class CounterName {
  Events,          ///< events reported, by event
  Requests,        ///< requests that ended, by service, version and outcome
  Refusals,        ///< requests refused, by service and reason
  Retries,         ///< requests tried again, by service and what ended before
  Attempts,        ///< requests sent to a runner, by service, version and kind
  PromptTokens,    ///< by service and version
  CachedTokens,    ///< prompt tokens found in a runner's cache
  AnswerTokens,    ///< by service and version
  StoreCalls,      ///< calls of the key-value service, by outcome
  SuppressedLines, ///< log lines left out
};

/// Values that rise and fall.
enum class GaugeName {
  InFlight,                ///< requests being answered, by service
  Queued,                  ///< requests that wait for capacity, by service
  ConcurrencyLimit,        ///< of the runner, by service
  ConfigurationGeneration, ///< the generation in force
  ConfigurationAgeSeconds, ///< since it was known to be the newest
  JournalPending,          ///< records not yet in the journal
  MembersUsable,           ///< members that may be given work
  TrialShare,              ///< share of a trial version, by version
  Connections,             ///< connections of callers
  RunnersEjected,          ///< runners that get no requests for a while
  RetryBudgetLeft,         ///< repeats that may be sent now, by service
  TrialEvidence, ///< answers of a trial known here, by version and outcome
  PeersHeard,    ///< other gateways whose reports are fresh
};

/// Lengths of time, as distributions.
enum class HistogramName {
  RequestSeconds,    ///< from arrival to the end of the answer
  FirstTokenSeconds, ///< from arrival to the first part of the answer
  QueueSeconds,      ///< wait for capacity
  StoreCallSeconds,  ///< round trip of the key-value service
};

/// What a sample is about; empty members are left out. Use only names that are
/// declared, never text from a request, so that the number of series is
/// bounded.
struct MetricLabels {
  core::ServiceId Service;
  core::VersionId Version;
  std::string Outcome; ///< an outcome or the slug of an error
};

/// One metric, as documented in docs/operators/metrics.md.
struct MetricEntry {
  std::string_view Name;
  std::string_view Help;
};

const MetricEntry &describe(CounterName name);
const MetricEntry &describe(GaugeName name);
const MetricEntry &describe(HistogramName name);
/// All metrics in the order in which they are declared.
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
  /// Counts one event.
  void add(EventNumber event);
  void set(GaugeName name, const MetricLabels &labels, double value);
  void observe(HistogramName name, const MetricLabels &labels,
               core::Millis length);
  /// All metrics in the text format that Prometheus scrapes.
  [[nodiscard]] std::string scrape() const;

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

/// The media type of scrape().
inline constexpr std::string_view ScrapeMediaType =
    "text/plain; version=0.0.4; charset=utf-8";

} // namespace cowslipridge::observe
