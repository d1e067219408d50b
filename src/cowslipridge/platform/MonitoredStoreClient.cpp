#include "cowslipridge/platform/MonitoredStoreClient.hpp"

#include <utility>

namespace cowslipridge::platform {

namespace {

/// A store that is over its rate still serves; one that says so time and again
/// has turned this gateway away.
constexpr unsigned BusyRepliesToLose = 4;

std::string_view toString(StoreCallKind name) {
  switch (name) {
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
  case StoreCallKind::Advance:
    break;
  }
  return "advance";
}

std::string describe(StoreCallKind name, const StoreReply &reply) {
  const std::string what = reply.Status != 0
                               ? "status " + std::to_string(reply.Status)
                               : std::string(http1::toString(reply.Failure));
  return std::string(toString(name)) + ": " + what;
}

} // namespace

bool isAnswered(const StoreReply &reply) {
  return reply.Status == status::Ok || reply.Status == status::NotFound ||
         reply.Status == status::HistoryGone ||
         reply.Status == status::ConditionFailed;
}

bool isBusy(const StoreReply &reply) {
  return reply.Status == status::TooManyCalls;
}

MonitoredStoreClient::MonitoredStoreClient(boost::asio::io_context &loop,
                                           const core::Clock &clock,
                                           const config::SocketAddress &address,
                                           observe::Metrics &counts)
    : Clock(clock), Store(loop, clock, address), Counts(counts) {}

std::shared_ptr<http1::Call>
MonitoredStoreClient::send(StoreCallKind name, const StoreCall &call,
                           core::Millis timeout, StoreClient::Done done) {
  return Store.send(
      call, timeout,
      [this, name, done = std::move(done)](const StoreReply &reply) {
        note(name, reply);
        done(reply);
      });
}

void MonitoredStoreClient::note(StoreCallKind name, const StoreReply &reply) {
  const bool answered = isAnswered(reply);
  const observe::MetricLabels labels{.Service = {},
                                     .Version = {},
                                     .Outcome =
                                         answered ? "answered" : "failed"};
  Counts.add(observe::CounterName::StoreCalls, labels);
  // A watch waits on purpose.
  if (name != StoreCallKind::Watch)
    Counts.observe(observe::HistogramName::StoreCallSeconds, labels,
                   reply.Took);
  Heard = Heard || reply.Status != 0;
  BusyInRow = isBusy(reply) ? BusyInRow + 1 : 0;
  const bool lost =
      !answered && (!isBusy(reply) || BusyInRow >= BusyRepliesToLose);
  if (lost && !Away) {
    Away = true;
    Hears.Lost(describe(name, reply));
  }
  if (answered && Away) {
    Away = false;
    Hears.Returned();
  }
  const auto failedAt =
      std::exchange(FailedAt, answered ? std::nullopt : std::optional(now()));
  if (answered && failedAt)
    Hears.Recovered(*failedAt);
}

} // namespace cowslipridge::platform
