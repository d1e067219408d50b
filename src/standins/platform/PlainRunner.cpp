#include "standins/platform/PlainRunner.hpp"

namespace cowslipridge::standins::platform {

void PlainRunner::startRequest(RunnerCall call) {
  if (traits().ServiceTime == core::Millis())
    respond(call);
  else
    Active.push_back({std::move(call), now() + traits().ServiceTime});
}

void PlainRunner::process(core::Millis now) {
  for (const ActiveRequest &it : Active) {
    if (!*it.Call.Disconnected && now >= it.DueAt)
      respond(it.Call);
  }
  Active.remove_if([&](const ActiveRequest &it) {
    return *it.Call.Disconnected || now >= it.DueAt;
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
