#include "standins/platform/StreamingRunner.hpp"

#include <algorithm>
#include <utility>

namespace cowslipridge::standins::platform {

void StreamingRunner::begin(RunnerCall call) {
  const http1::RequestHead &request = call.Exchange->head();
  const std::string last = fieldOf(request, "Last-Event-Id");
  Run run;
  run.NextEvent = last.empty() ? 1 : std::stoull(last) + 1;
  run.Tokens = read(fieldOf(request, "Prompt-Prefix"));
  TokensRead += run.Tokens;
  run.DueAt =
      now() +
      core::Millis(static_cast<std::int64_t>(traits().PrefillMillisPerToken *
                                             static_cast<double>(run.Tokens)));
  run.Call = std::move(call);
  Active.push_back(std::move(run));
}

// Parts are kept only while all before them are, so the text up to a part
// names it.
std::uint64_t StreamingRunner::read(const std::string &prompt) {
  std::uint64_t tokens = 0;
  std::size_t at = 0;
  while (at < prompt.size()) {
    const std::size_t colon = prompt.find(':', at);
    const std::size_t end = std::min(prompt.find(',', at), prompt.size());
    if (KeptParts.insert(prompt.substr(0, end)).second)
      tokens += std::stoull(prompt.substr(colon + 1, end - colon - 1));
    at = end + 1;
  }
  return tokens;
}

std::uint64_t StreamingRunner::memoryUsed() const {
  std::uint64_t tokens = 0;
  for (const Run &it : Active)
    tokens += it.Tokens;
  return tokens;
}

void StreamingRunner::step(Run &run) {
  http1::Exchange &exchange = *run.Call.Exchange;
  if (!std::exchange(run.Begun, true)) {
    http1::ResponseHead begun = head(200, run.Call.Id);
    begun.Fields.add("Content-Type", "text/event-stream");
    begun.Body = http1::Framing::Chunked;
    exchange.begin(std::move(begun));
  }
  if (traits().BreaksAfter && run.Sent >= *traits().BreaksAfter) {
    exchange.send("id: " + std::to_string(run.NextEvent) + "\nda");
    exchange.abort();
    run.Ended = true;
    return;
  }
  exchange.send("id: " + std::to_string(run.NextEvent) + "\ndata: event " +
                std::to_string(run.NextEvent) + "\n\n");
  ++run.Sent;
  run.DueAt = now() + traits().EventGap;
  if (++run.NextEvent > traits().Events) {
    exchange.end();
    run.Ended = true;
  }
}

void StreamingRunner::work(core::Millis now) {
  for (Run &it : Active) {
    if (!*it.Call.Left && now >= it.DueAt)
      step(it);
  }
  Active.remove_if([](const Run &it) { return it.Ended || *it.Call.Left; });
}

} // namespace cowslipridge::standins::platform
