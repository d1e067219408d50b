#include "standins/platform/PlatformRunner.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cowslipridge::standins::platform {

namespace {

using nlohmann::json;

constexpr core::Millis TickInterval{2};
constexpr std::string_view ReportPath = "/v1/report";

std::optional<int> numberOf(const http1::RequestHead &head,
                            std::string_view name) {
  const std::string text = fieldOf(head, name);
  return text.empty() ? std::nullopt : std::optional(std::stoi(text));
}

std::optional<core::Millis> millisIn(const http1::RequestHead &head,
                                     std::string_view name) {
  const auto number = numberOf(head, name);
  return number ? std::optional(core::Millis(*number)) : std::nullopt;
}

std::string formatSeconds(core::Millis duration) {
  constexpr double MillisPerSecond = 1'000;
  return std::to_string(static_cast<double>(duration.count()) /
                        MillisPerSecond);
}

// Runners copy the id of a request into each response, rejections included.
void echoId(const http1::RequestHead &request, http1::ResponseHead &response) {
  const std::string id = fieldOf(request, "Attempt-Id");
  if (!id.empty())
    response.Fields.add("Attempt-Id", id);
}

} // namespace

std::string fieldOf(const http1::RequestHead &head, std::string_view name) {
  return std::string(head.Fields.find(name).value_or(""));
}

PlatformRunner::PlatformRunner(boost::asio::io_context &loop,
                               const core::Clock &clock, RunnerTraits traits)
    : Clock(clock), StartedAt(clock.wall()), Traits(std::move(traits)),
      Server(loop, clock, [this](const auto &it) { onRequest(it); }),
      Ticker(loop) {
  Cold.start(Traits.Cold, now());
  scheduleTick();
}

void PlatformRunner::listen(const http1::Endpoint &address) {
  Address = address;
  Server.listen(address);
}

std::string PlatformRunner::entry(const std::string &state) {
  return json{{"service", Traits.Service},
              {"address", Address.address().to_string() + ":" +
                              std::to_string(Address.port())},
              {"zone", Traits.Domain},
              {"version", Traits.Version},
              {"slots", Traits.Slots},
              {"state", state},
              {"coldRemainingMs", Cold.remaining(now()).count()},
              {"sequenceNumber", ++Entries},
              {"born", StartedAt.count()}}
      .dump();
}

http1::ResponseHead PlatformRunner::head(int status,
                                         const std::string &id) const {
  http1::ResponseHead head;
  head.Status = status;
  head.Fields.add("Attempt-Id", id);
  head.Fields.add("Response-Signature", "signed-by-" + Traits.Id);
  if (Traits.Confidence)
    head.Fields.add("Estimate-Confidence", std::to_string(*Traits.Confidence));
  announce(head);
  return head;
}

void PlatformRunner::announce(http1::ResponseHead &head) const {
  if (Traits.Leaving)
    head.Fields.add("Server-Leaving", "1");
  if (Traits.RateLimit)
    head.Fields.add("Server-Limit", std::to_string(*Traits.RateLimit));
}

void PlatformRunner::onRequest(
    const std::shared_ptr<http1::Exchange> &received) {
  if (received->head().Target == ReportPath) {
    report(*received);
    return;
  }
  const bool copies =
      Traits.CopiesRefusals || Traits.Deviates == Deviation::CopiedRefusal;
  const auto exchange = copies ? Copies.wrap(received) : received;
  LastHead = exchange->head();
  reportStep({RequestStep::Arrived, fieldOf(LastHead, "Attempt-Id"),
              millisIn(LastHead, "Deadline-Remaining")});
  if (Traits.Unresponsive)
    return;
  const std::string expected = fieldOf(LastHead, "Expected-Instance");
  if (!expected.empty() && expected != Traits.Id) {
    http1::ResponseHead refusal;
    refusal.Status = 421;
    echoId(exchange->head(), refusal);
    refusal.Fields.add("Not-Executed", "1");
    refusal.Fields.add("Instance-Id", Traits.Id);
    announce(refusal);
    exchange->respond(std::move(refusal), {});
    return;
  }
  Overloaded = !Cold.onRequest(now()) || Overloaded;
  if (Overloaded) {
    exchange->abort();
    return;
  }
  RunnerCall call;
  call.Exchange = exchange;
  call.Id = fieldOf(LastHead, "Attempt-Id");
  call.Priority =
      numberOf(LastHead, "Request-Priority").value_or(call.Priority);
  if (const auto remaining = millisIn(LastHead, "Deadline-Remaining"))
    call.DeadlineAt = now() + *remaining;
  exchange->onClientDisconnect(
      [disconnected = call.Disconnected] { *disconnected = true; });
  admit(std::move(call));
}

void PlatformRunner::report(http1::Exchange &exchange) const {
  http1::ResponseHead head;
  head.Fields.add("Content-Type", "application/json");
  head.Fields.add("Cold-Remaining",
                  std::to_string(Cold.remaining(now()).count()));
  exchange.respond(std::move(head), json{{"stage", "prefill_and_decode"},
                                         {"models", json::array()},
                                         {"busy", false},
                                         {"sequenceNumber", 0},
                                         {"queuedRequests", queued()},
                                         {"activeRequests", active()},
                                         {"kvCacheUsed", cacheTokensUsed()},
                                         {"kvCacheTotal", Traits.CacheTokens},
                                         {"handles", 0}}
                                        .dump());
}

void PlatformRunner::reject(http1::Exchange &exchange) const {
  http1::ResponseHead refusal;
  refusal.Status = 503;
  echoId(exchange.head(), refusal);
  refusal.Fields.add("Not-Executed", "1");
  if (Traits.RejectionBackoff)
    refusal.Fields.add("Retry-After", formatSeconds(*Traits.RejectionBackoff));
  announce(refusal);
  exchange.respond(std::move(refusal), {});
}

void PlatformRunner::admit(RunnerCall call) {
  if (active() >= Traits.Slots && Queue.size() >= Traits.MaxQueueLength) {
    reject(*call.Exchange);
    return;
  }
  const auto position =
      std::find_if(Queue.begin(), Queue.end(), [&](const RunnerCall &it) {
        return it.Priority > call.Priority;
      });
  Queue.insert(position, std::move(call));
  admitWaiting(now());
}

void PlatformRunner::admitWaiting(core::Millis now) {
  Queue.remove_if([&](const RunnerCall &it) {
    if (!*it.Disconnected && it.DeadlineAt && now >= *it.DeadlineAt)
      reject(*it.Exchange);
    return *it.Disconnected || (it.DeadlineAt && now >= *it.DeadlineAt);
  });
  while (!Queue.empty() && active() < Traits.Slots) {
    RunnerCall call = std::move(Queue.front());
    Queue.pop_front();
    if (const auto deviation = nextDeviation()) {
      deviate(call, *deviation);
      continue;
    }
    recordRun(call);
    if (Traits.AlwaysFails)
      call.Exchange->respond(head(500, call.Id), "failed");
    else
      startRequest(std::move(call));
  }
}

std::optional<Deviation> PlatformRunner::nextDeviation() {
  const bool isDue = ++Admitted % std::max(1U, Traits.DeviatesEvery) == 0;
  return isDue ? Traits.Deviates : std::nullopt;
}

void PlatformRunner::deviate(const RunnerCall &call, Deviation deviation) {
  if (runsRequest(deviation)) {
    recordRun(call);
    recordEnd(call);
  }
  answerDeviating(call.Exchange, deviation, head(200, call.Id), Deviated++);
}

void PlatformRunner::recordRun(const RunnerCall &call) {
  ++RunCounts[call.Id];
  reportStep({RequestStep::Run, call.Id});
}

void PlatformRunner::recordEnd(const RunnerCall &call) const {
  reportStep({RequestStep::Ended, call.Id});
}

void PlatformRunner::reportStep(const RequestStepReport &report) const {
  if (OnStep)
    OnStep(report);
}

void PlatformRunner::scheduleTick() {
  Ticker.start(TickInterval, [this] { tick(); });
}

void PlatformRunner::stop() {
  crash();
  for (const RunnerCall &it : Queue)
    it.Exchange->abort();
  Queue.clear();
  Server.stop();
}

void PlatformRunner::tick() {
  if (Overloaded) {
    stop();
    return;
  }
  process(now());
  admitWaiting(now());
  scheduleTick();
}

} // namespace cowslipridge::standins::platform
