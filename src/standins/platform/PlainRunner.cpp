#include "standins/platform/PlainRunner.hpp"

#include <algorithm>

namespace cowslipridge::standins::platform {

void PlainRunner::startRequest(RunnerCall call) {
  if (traits().ServiceTime == core::Millis() && !isCrashing(call))
    respond(call);
  else
    Active.push_back({std::move(call), now() + traits().ServiceTime});
}

bool PlainRunner::isCrashing(const RunnerCall &call) const {
  return traits().CrashingTarget == call.Exchange->head().Target;
}

void PlainRunner::crash() {
  for (const ActiveRequest &it : Active)
    it.Call.Exchange->abort();
  Active.clear();
}

void PlainRunner::process(core::Millis now) {
  const bool crashes =
      std::any_of(Active.begin(), Active.end(), [&](const ActiveRequest &it) {
        return now >= it.DueAt && isCrashing(it.Call);
      });
  if (crashes) {
    crash();
    return;
  }
  for (const ActiveRequest &it : Active) {
    if (!*it.Call.Disconnected && now >= it.DueAt)
      respond(it.Call);
  }
  Active.remove_if([&](const ActiveRequest &it) {
    const bool hasEnded = *it.Call.Disconnected || now >= it.DueAt;
    if (hasEnded)
      recordEnd(it.Call);
    return hasEnded;
  });
}

void PlainRunner::respond(const RunnerCall &call) {
  const std::string body = "answer to " + call.Id;
  http1::ResponseHead responseHead = head(200, call.Id);
  if (!traits().DuplicatesReplies) {
    call.Exchange->respond(std::move(responseHead), body);
    return;
  }
  responseHead.Body = http1::Framing::Length;
  responseHead.Length = body.size();
  const std::string duplicate = http1::writeHead(responseHead) + body;
  call.Exchange->begin(std::move(responseHead));
  call.Exchange->send(body + duplicate);
  call.Exchange->end();
}

} // namespace cowslipridge::standins::platform
