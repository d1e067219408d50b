#include "cowslipridge/platform/MonitoredStoreClient.hpp"

#include <algorithm>
#include <utility>

namespace cowslipridge::platform {

namespace {

std::string_view toString(StoreCallKind kind) {
  switch (kind) {
  case StoreCallKind::List:
    return "list";
  case StoreCallKind::Watch:
    return "watch";
  case StoreCallKind::Grant:
    return "grant";
  case StoreCallKind::Register:
    return "register";
  case StoreCallKind::Release:
    return "release";
  case StoreCallKind::Renew:
    return "renew";
  case StoreCallKind::Quarantine:
    return "quarantine";
  case StoreCallKind::Advance:
    break;
  }
  return "advance";
}

std::string describe(StoreCallKind kind, const StoreReply &reply) {
  std::string text = std::string(toString(kind)) + ": ";
  if (reply.Status != 0)
    return text + "status " + std::to_string(reply.Status);
  text += http1::toString(reply.Failure);
  return reply.Defect.empty() ? text : text + ", " + reply.Defect;
}

CallOutcome outcomeOf(const StoreReply &reply) {
  if (isProcessed(reply))
    return CallOutcome::Processed;
  if (isRateLimited(reply))
    return CallOutcome::RateLimited;
  return reply.Status == 0 ? CallOutcome::Unanswered : CallOutcome::Rejected;
}

} // namespace

bool isProcessed(const StoreReply &reply) {
  return reply.Status == status::Ok || reply.Status == status::NotFound ||
         reply.Status == status::HistoryCompacted ||
         reply.Status == status::ConditionFailed;
}

bool isRateLimited(const StoreReply &reply) {
  return reply.Status == status::TooManyRequests;
}

MonitoredStoreClient::MonitoredStoreClient(boost::asio::io_context &loop,
                                           const core::Clock &clock,
                                           const config::SocketAddress &address,
                                           observe::Metrics &metrics)
    : Clock(clock), Store(loop, clock, address), Metrics(metrics) {}

std::shared_ptr<http1::Call>
MonitoredStoreClient::send(StoreCallKind kind, const StoreCall &call,
                           core::Millis timeout,
                           StoreClient::Callback callback) {
  return Store.send(
      call, timeout,
      [this, kind, callback = std::move(callback)](StoreReply reply) {
        recordReply(kind, reply);
        recordEra(reply);
        callback(reply);
      });
}

// A response without an era is taken as one of the present era.
void MonitoredStoreClient::recordEra(StoreReply &reply) {
  if (reply.Era == 0)
    reply.Era = Era;
  const StoreEra before = Era;
  Era = std::max(Era, reply.Era);
  if (before != 0 && Era != before)
    Callbacks.OnRestored();
}

void MonitoredStoreClient::recordReply(StoreCallKind kind,
                                       const StoreReply &reply) {
  const bool processed = isProcessed(reply);
  const observe::MetricLabels labels{.Service = {},
                                     .Version = {},
                                     .Outcome =
                                         processed ? "answered" : "failed"};
  Metrics.add(observe::CounterName::StoreCalls, labels);
  // A watch blocks until something changes, so its duration is no latency.
  if (kind != StoreCallKind::Watch)
    Metrics.observe(observe::HistogramName::StoreCallSeconds, labels,
                    reply.Duration);
  HasReplied = HasReplied || reply.Status != 0;
  const auto changes = Availability.record(outcomeOf(reply), now());
  if (changes.BecameUnavailable)
    Callbacks.OnUnavailable(describe(kind, reply));
  if (changes.BecameAvailable)
    Callbacks.OnAvailable();
  const auto lastFailureAt = std::exchange(
      LastFailureAt, processed ? std::nullopt : std::optional(now()));
  if (processed && lastFailureAt)
    Callbacks.OnSuccessAfterFailure(*lastFailureAt);
}

} // namespace cowslipridge::platform
