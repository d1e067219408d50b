#include "standins/platform/PlainRunner.hpp"

namespace cowslipridge::standins::platform {

void PlainRunner::begin(RunnerCall call) {
  if (traits().WorkTime == core::Millis())
    answer(call);
  else
    Active.push_back({std::move(call), now() + traits().WorkTime});
}

void PlainRunner::work(core::Millis now) {
  for (const Run &it : Active) {
    if (!*it.Call.Left && now >= it.DueAt)
      answer(it.Call);
  }
  Active.remove_if(
      [&](const Run &it) { return *it.Call.Left || now >= it.DueAt; });
}

void PlainRunner::answer(const RunnerCall &call) {
  const std::string body = "answer to " + call.Id;
  http1::ResponseHead plain = head(200, call.Id);
  if (!traits().AnswersTwice) {
    call.Exchange->respond(std::move(plain), body);
    return;
  }
  plain.Body = http1::Framing::Length;
  plain.Length = body.size();
  const std::string again = http1::writeHead(plain) + body;
  call.Exchange->begin(std::move(plain));
  call.Exchange->send(body + again);
  call.Exchange->end();
}

} // namespace cowslipridge::standins::platform
