#include "standins/platform/StreamingRunner.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace cowslipridge::standins::platform {

namespace {

constexpr std::chrono::milliseconds TickInterval{2};

std::string fieldOf(const http1::RequestHead &head, std::string_view name) {
  return std::string(head.Fields.find(name).value_or(""));
}

} // namespace

StreamingRunner::StreamingRunner(boost::asio::io_context &loop,
                                 const core::Clock &clock, RunnerTraits traits)
    : Clock(clock), Traits(std::move(traits)),
      Server(loop, clock, [this](const auto &it) { onRequest(it); }),
      Ticker(loop) {
  tickLater();
}

void StreamingRunner::listen(const http1::Endpoint &address) {
  Address = address;
  Server.listen(address);
}

std::string StreamingRunner::entry(const std::string &state) const {
  return nlohmann::json{{"service", Traits.Service},
                        {"address", Address.address().to_string() + ":" +
                                        std::to_string(Address.port())},
                        {"zone", Traits.Domain},
                        {"version", Traits.Version},
                        {"slots", Traits.Slots},
                        {"state", state},
                        {"coldRemainingMs", 0},
                        {"sequenceNumber", 1}}
      .dump();
}

http1::ResponseHead StreamingRunner::head(int status,
                                          const std::string &id) const {
  http1::ResponseHead head;
  head.Status = status;
  head.Fields.add("Attempt-Id", id);
  head.Fields.add("Response-Signature", "signed-by-" + Traits.Id);
  if (Traits.Confidence)
    head.Fields.add("Estimate-Confidence", std::to_string(*Traits.Confidence));
  return head;
}

void StreamingRunner::onRequest(
    const std::shared_ptr<http1::Exchange> &exchange) {
  LastHead = exchange->head();
  if (Traits.Silent || refuses(*exchange))
    return;
  const std::string id = fieldOf(LastHead, "Attempt-Id");
  ++Runs[id];
  if (Traits.FailsAll) {
    exchange->respond(head(500, id), "failed");
    return;
  }
  const std::string prompt = fieldOf(LastHead, "Prompt-Prefix");
  if (prompt.empty()) {
    answerPlainly(*exchange, id);
    return;
  }
  Run run;
  run.Exchange = exchange;
  run.Id = id;
  const std::string last = fieldOf(LastHead, "Last-Event-Id");
  run.NextEvent = last.empty() ? 1 : std::stoull(last) + 1;
  run.DueAt = Clock.monotonic() + read(prompt);
  Active.push_back(std::move(run));
  Run &kept = Active.back();
  exchange->onLeft([&kept] { kept.Left = true; });
}

bool StreamingRunner::refuses(http1::Exchange &exchange) {
  const std::string expected = fieldOf(LastHead, "Expected-Instance");
  http1::ResponseHead refusal;
  if (!expected.empty() && expected != Traits.Id) {
    refusal.Status = 421;
    refusal.Fields.add("Instance-Id", Traits.Id);
    exchange.respond(std::move(refusal), {});
    return true;
  }
  if (Active.size() < Traits.Slots)
    return false;
  refusal.Status = 503;
  refusal.Fields.add("Not-Executed", "1");
  exchange.respond(std::move(refusal), {});
  return true;
}

// Parts are kept only while all before them are, so the text up to a part
// names it.
core::Millis StreamingRunner::read(const std::string &prompt) {
  std::uint64_t tokens = 0;
  std::size_t at = 0;
  while (at < prompt.size()) {
    const std::size_t colon = prompt.find(':', at);
    const std::size_t end = std::min(prompt.find(',', at), prompt.size());
    if (KeptParts.insert(prompt.substr(0, end)).second)
      tokens += std::stoull(prompt.substr(colon + 1, end - colon - 1));
    at = end + 1;
  }
  TokensRead += tokens;
  return core::Millis(static_cast<std::int64_t>(Traits.PrefillMillisPerToken *
                                                static_cast<double>(tokens)));
}

void StreamingRunner::answerPlainly(http1::Exchange &exchange,
                                    const std::string &id) {
  const std::string body = "answer to " + id;
  http1::ResponseHead plain = head(200, id);
  if (!Traits.AnswersTwice) {
    exchange.respond(std::move(plain), body);
    return;
  }
  plain.Body = http1::Framing::Length;
  plain.Length = body.size();
  const std::string again = http1::writeHead(plain) + body;
  exchange.begin(std::move(plain));
  exchange.send(body + again);
  exchange.end();
}

void StreamingRunner::step(Run &run) {
  if (!std::exchange(run.Begun, true)) {
    http1::ResponseHead begun = head(200, run.Id);
    begun.Fields.add("Content-Type", "text/event-stream");
    begun.Body = http1::Framing::Chunked;
    run.Exchange->begin(std::move(begun));
  }
  if (Traits.BreaksAfter && run.Sent >= *Traits.BreaksAfter) {
    run.Exchange->send("id: " + std::to_string(run.NextEvent) + "\nda");
    run.Exchange->abort();
    run.Left = true;
    return;
  }
  run.Exchange->send("id: " + std::to_string(run.NextEvent) + "\ndata: event " +
                     std::to_string(run.NextEvent) + "\n\n");
  ++run.Sent;
  run.DueAt = Clock.monotonic() + Traits.EventGap;
  if (++run.NextEvent > Traits.Events) {
    run.Exchange->end();
    run.Left = true;
  }
}

void StreamingRunner::tickLater() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](const auto &ec) {
    if (!ec)
      tick();
  });
}

void StreamingRunner::tick() {
  const core::Millis now = Clock.monotonic();
  for (Run &it : Active) {
    if (!it.Left && now >= it.DueAt)
      step(it);
  }
  Active.remove_if([](const Run &it) { return it.Left; });
  tickLater();
}

} // namespace cowslipridge::standins::platform
