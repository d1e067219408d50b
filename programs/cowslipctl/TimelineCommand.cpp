#include "Commands.hpp"
#include "Files.hpp"
#include "Fleet.hpp"
#include "Platform.hpp"

#include "cowslipridge/observe/CauseInference.hpp"
#include "cowslipridge/observe/EventCodec.hpp"
#include "cowslipridge/observe/TimelineMerge.hpp"
#include "cowslipridge/observe/TimelineView.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DECLARE_string(admin_key_file);
DEFINE_bool(html, false, "write one HTML page instead of text");
DEFINE_string(request, "", "show only the events of this request");

namespace cowslipridge::ctl {

namespace {

constexpr int StatusOk = 200;

/// The events that one instance still has; none, after saying so, when its
/// answer cannot be read.
std::vector<observe::Event> eventsOf(const InstanceAnswer &answer) {
  if (!answer.Answer.ok() || answer.Answer->Status != StatusOk)
    return {};
  auto events = observe::decodeEvents(answer.Answer->Body);
  if (events.ok())
    return std::move(events).value();
  std::cerr << "cowslipctl: " << answer.Instance.Name.str()
            << ": the time line cannot be read\n";
  return {};
}

void keepRequest(std::vector<observe::Event> &events,
                 const std::string &request) {
  std::erase_if(events, [&](const observe::Event &x) {
    return x.Request.str() != request;
  });
}

} // namespace

ExitCode timeline(const Arguments &none) {
  if (!none.empty())
    return failUsage("timeline takes no arguments");
  const auto key = readKeyFile(FLAGS_admin_key_file);
  if (!key)
    return ExitCode::Usage;
  const auto instances = fetchInstances();
  if (!instances)
    return ExitCode::Unreachable;
  const auto answers = askInstances(*instances, "/admin/timeline", *key);
  std::vector<observe::Event> events;
  for (const InstanceAnswer &it : answers) {
    const auto more = eventsOf(it);
    events.insert(events.end(), more.begin(), more.end());
  }
  // Merged before the choice, so that causes count that are not shown.
  events = observe::mergeTimeline(observe::inferCauses(std::move(events)));
  if (!FLAGS_request.empty())
    keepRequest(events, FLAGS_request);
  std::cout << (FLAGS_html ? observe::showTimelineHtml(events)
                           : observe::showTimelineText(events));
  return printSilent(answers) ? ExitCode::Success : ExitCode::Unreachable;
}

} // namespace cowslipridge::ctl
