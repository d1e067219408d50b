#include "standins/platform/StreamingRunner.hpp"

#include <algorithm>
#include <utility>

namespace cowslipridge::standins::platform {

void StreamingRunner::startRequest(RunnerCall call) {
  const http1::RequestHead &request = call.Exchange->head();
  const std::string last = fieldOf(request, "Last-Event-Id");
  ActiveRequest run;
  run.NextEvent = last.empty() ? 1 : std::stoull(last) + 1;
  run.Tokens = prefill(fieldOf(request, "Prompt-Prefix"));
  PrefilledTokens += run.Tokens;
  run.DueAt =
      now() +
      core::Millis(static_cast<std::int64_t>(traits().PrefillMillisPerToken *
                                             static_cast<double>(run.Tokens)));
  run.Call = std::move(call);
  Active.push_back(std::move(run));
}

// A part is cached only together with all parts before it, so the text up to
// the end of a part identifies it.
std::uint64_t StreamingRunner::prefill(const std::string &prompt) {
  std::uint64_t tokens = 0;
  std::size_t at = 0;
  while (at < prompt.size()) {
    const std::size_t colon = prompt.find(':', at);
    const std::size_t end = std::min(prompt.find(',', at), prompt.size());
    if (CachedPrefixes.insert(prompt.substr(0, end)).second)
      tokens += std::stoull(prompt.substr(colon + 1, end - colon - 1));
    at = end + 1;
  }
  return tokens;
}

std::uint64_t StreamingRunner::cacheTokensUsed() const {
  std::uint64_t tokens = 0;
  for (const ActiveRequest &it : Active)
    tokens += it.Tokens;
  return tokens;
}

void StreamingRunner::sendEvent(ActiveRequest &run) {
  http1::Exchange &exchange = *run.Call.Exchange;
  if (!std::exchange(run.HasBegun, true)) {
    http1::ResponseHead responseHead = head(200, run.Call.Id);
    responseHead.Fields.add("Content-Type", "text/event-stream");
    responseHead.Body = http1::Framing::Chunked;
    exchange.begin(std::move(responseHead));
  }
  if (run.NextEvent > traits().Events) {
    exchange.end();
    run.HasEnded = true;
    return;
  }
  if (traits().AbortsAfterEvents && run.Sent >= *traits().AbortsAfterEvents) {
    exchange.send("id: " + std::to_string(run.NextEvent) + "\nda");
    exchange.abort();
    run.HasEnded = true;
    return;
  }
  exchange.send("id: " + std::to_string(run.NextEvent) + "\ndata: event " +
                std::to_string(run.NextEvent) + "\n\n");
  ++run.Sent;
  run.DueAt = now() + traits().EventInterval;
  if (++run.NextEvent > traits().Events) {
    exchange.end();
    run.HasEnded = true;
  }
}

bool StreamingRunner::isCrashing(const ActiveRequest &run) const {
  const auto &segment = traits().CrashingSegment;
  return segment && run.Sent > 0 &&
         fieldOf(run.Call.Exchange->head(), "Prompt-Prefix")
                 .find(*segment + ":") != std::string::npos;
}

void StreamingRunner::crash() {
  for (const ActiveRequest &it : Active)
    it.Call.Exchange->abort();
  Active.clear();
}

void StreamingRunner::process(core::Millis now) {
  for (ActiveRequest &it : Active) {
    if (!*it.Call.Disconnected && now >= it.DueAt)
      sendEvent(it);
  }
  const bool crashes =
      std::any_of(Active.begin(), Active.end(),
                  [&](const ActiveRequest &it) { return isCrashing(it); });
  if (crashes)
    crash();
  Active.remove_if([this](const ActiveRequest &it) {
    const bool hasEnded = it.HasEnded || *it.Call.Disconnected;
    if (hasEnded)
      recordEnd(it.Call);
    return hasEnded;
  });
}

} // namespace cowslipridge::standins::platform
