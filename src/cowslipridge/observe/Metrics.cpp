#include "cowslipridge/observe/Metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <sstream>
#include <vector>

namespace cowslipridge::observe {

namespace {

constexpr std::size_t CounterCount = 13;
constexpr std::size_t GaugeCount = 20;
constexpr std::size_t HistogramCount = 4;
constexpr double MillisPerSecond = 1'000;

/// Counters, then gauges, then histograms, each in the order of its enum.
constexpr std::array<MetricEntry, CounterCount + GaugeCount + HistogramCount>
    Catalogue = {{
        {"cowslipridge_events_total", "Events reported."},
        {"cowslipridge_requests_total", "Requests that ended."},
        {"cowslipridge_refusals_total", "Requests that were refused."},
        {"cowslipridge_retries_total", "Requests sent to another runner."},
        {"cowslipridge_attempts_total", "Requests sent to a runner."},
        {"cowslipridge_runner_refusals_total", "Requests refused by runners."},
        {"cowslipridge_broken_answers_total",
         "Answers of runners that are none or can't be passed on."},
        {"cowslipridge_prompt_tokens_total", "Prompt tokens run."},
        {"cowslipridge_cached_tokens_total",
         "Prompt tokens found in a runner's cache."},
        {"cowslipridge_answer_tokens_total", "Answer tokens generated."},
        {"cowslipridge_store_calls_total", "Calls of the key-value service."},
        {"cowslipridge_store_restores_total",
         "Restores of the key-value service from older copies."},
        {"cowslipridge_suppressed_lines_total", "Log lines left out."},
        {"cowslipridge_in_flight", "Requests being answered."},
        {"cowslipridge_queued", "Requests that wait for capacity."},
        {"cowslipridge_concurrency_limit",
         "Requests that the runner is given at a time."},
        {"cowslipridge_configuration_generation",
         "Generation of the configuration in force."},
        {"cowslipridge_configuration_age_seconds",
         "Time since the configuration was known to be the newest."},
        {"cowslipridge_journal_pending", "Records not yet in the journal."},
        {"cowslipridge_members_usable", "Members that may be given work."},
        {"cowslipridge_trial_share", "Share of requests of a trial version."},
        {"cowslipridge_connections", "Connections of callers."},
        {"cowslipridge_runners_ejected",
         "Runners that get no requests for a while."},
        {"cowslipridge_retry_budget_left", "Repeats that may be sent now."},
        {"cowslipridge_trial_evidence",
         "Answers known here of the versions of a roll-out."},
        {"cowslipridge_peers_reporting",
         "Other gateways whose reports are fresh."},
        {"cowslipridge_segments_quarantined",
         "Prompt segments that crash runners and are rejected."},
        {"cowslipridge_runners_rate_limited",
         "Runners that named the rate of requests that they take."},
        {"cowslipridge_contents_quarantined",
         "Requests that crash runners and are rejected."},
        {"cowslipridge_domains_evacuated",
         "Failure domains that operators have evacuated."},
        {"cowslipridge_runners_cold",
         "Runners whose load is limited because they are cold."},
        {"cowslipridge_buffered_bytes", "Bytes held for callers and runners."},
        {"cowslipridge_retry_budget_members",
         "Gateways that share the fixed repeats; 0: this one has no part."},
        {"cowslipridge_request_seconds",
         "Time from a request's arrival to the end of its answer."},
        {"cowslipridge_first_token_seconds",
         "Time from a request's arrival to the first part of its answer."},
        {"cowslipridge_queue_seconds", "Time that requests wait for capacity."},
        {"cowslipridge_store_call_seconds",
         "Round trip of the key-value service."},
    }};

/// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries Buckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5,
    1,     2,     5,     10,   30,   60,   300, 600};

prometheus::Labels toLabels(const MetricLabels &labels) {
  prometheus::Labels pairs;
  if (!labels.Service.empty())
    pairs["service"] = labels.Service.str();
  if (!labels.Version.empty())
    pairs["version"] = labels.Version.str();
  if (!labels.Outcome.empty())
    pairs["outcome"] = labels.Outcome;
  return pairs;
}

template <typename Name> std::size_t indexOf(Name name) {
  return static_cast<std::size_t>(name);
}

} // namespace

const MetricEntry &describe(CounterName name) {
  return Catalogue.at(indexOf(name));
}

const MetricEntry &describe(GaugeName name) {
  return Catalogue.at(CounterCount + indexOf(name));
}

const MetricEntry &describe(HistogramName name) {
  return Catalogue.at(CounterCount + GaugeCount + indexOf(name));
}

std::span<const MetricEntry> metricCatalogue() { return Catalogue; }

class Metrics::Impl {
public:
  template <typename Builder>
  auto &build(Builder builder, const MetricEntry &entry) {
    return builder.Name(std::string(entry.Name))
        .Help(std::string(entry.Help))
        .Labels(CommonLabels)
        .Register(Registry);
  }

  Impl(const core::InstanceId &instance, const core::FailureDomainId &domain)
      : CommonLabels({{"instance_name", instance.str()},
                      {"failure_domain", domain.str()}}) {
    for (std::size_t n = 0; n < CounterCount; ++n)
      Counters.push_back(
          &build(prometheus::BuildCounter(), describe(CounterName(n))));
    for (std::size_t n = 0; n < GaugeCount; ++n)
      Gauges.push_back(
          &build(prometheus::BuildGauge(), describe(GaugeName(n))));
    for (std::size_t n = 0; n < HistogramCount; ++n)
      Histograms.push_back(
          &build(prometheus::BuildHistogram(), describe(HistogramName(n))));
  }

  const std::map<std::string, std::string> CommonLabels;
  prometheus::Registry Registry;
  std::vector<prometheus::Family<prometheus::Counter> *> Counters;
  std::vector<prometheus::Family<prometheus::Gauge> *> Gauges;
  std::vector<prometheus::Family<prometheus::Histogram> *> Histograms;
};

Metrics::Metrics(const core::InstanceId &instance,
                 const core::FailureDomainId &domain)
    : Internals(std::make_unique<Impl>(instance, domain)) {}

Metrics::~Metrics() = default;

void Metrics::add(CounterName name, const MetricLabels &labels, double amount) {
  Internals->Counters.at(indexOf(name))
      ->Add(toLabels(labels))
      .Increment(amount);
}

void Metrics::add(EventNumber event) {
  Internals->Counters.at(indexOf(CounterName::Events))
      ->Add({{"event", std::string(describe(event).Name)}})
      .Increment();
}

void Metrics::set(GaugeName name, const MetricLabels &labels, double value) {
  Internals->Gauges.at(indexOf(name))->Add(toLabels(labels)).Set(value);
}

void Metrics::observe(HistogramName name, const MetricLabels &labels,
                      core::Millis length) {
  Internals->Histograms.at(indexOf(name))
      ->Add(toLabels(labels), Buckets)
      .Observe(static_cast<double>(length.count()) / MillisPerSecond);
}

std::string Metrics::scrape() const {
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, Internals->Registry.Collect());
  return text.str();
}

} // namespace cowslipridge::observe
