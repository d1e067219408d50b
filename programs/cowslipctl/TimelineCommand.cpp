#include "Commands.hpp"
#include "Files.hpp"
#include "Fleet.hpp"
#include "Platform.hpp"

#include "cowslipridge/core/Finding.hpp"
#include "cowslipridge/observe/CauseInference.hpp"
#include "cowslipridge/observe/EventCodec.hpp"
#include "cowslipridge/observe/LogReader.hpp"
#include "cowslipridge/observe/TimelineMerge.hpp"
#include "cowslipridge/observe/TimelineView.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>

DECLARE_string(admin_key_file);
DEFINE_bool(html, false, "write one HTML page instead of text");
DEFINE_string(request, "", "show only the events of this request");

namespace cowslipridge::ctl {

namespace {

constexpr int StatusOk = 200;
constexpr std::string_view StandardInput = "-";

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

namespace {

ExitCode show(std::vector<observe::Event> events, const std::string &request) {
  // Merged before the choice, so that causes count that are not shown.
  events = observe::mergeTimeline(observe::inferCauses(std::move(events)));
  if (!request.empty())
    keepRequest(events, request);
  std::cout << (FLAGS_html ? observe::showTimelineHtml(events)
                           : observe::showTimelineText(events));
  return events.empty() && !request.empty() ? ExitCode::Findings
                                            : ExitCode::Success;
}

} // namespace

ExitCode showLogs(const Arguments &files, const std::string &request) {
  std::vector<observe::Event> events;
  core::Findings findings;
  for (const std::string &it : files) {
    std::ifstream file;
    if (it != StandardInput) {
      file.open(it);
      if (!file) {
        std::cerr << "cowslipctl: " << it << ": cannot be read\n";
        return ExitCode::Usage;
      }
    }
    std::istream &in = it == StandardInput ? std::cin : file;
    const auto more = observe::readLog(in, it, findings);
    events.insert(events.end(), more.begin(), more.end());
  }
  for (const core::Finding &it : findings.items())
    std::cerr << core::toString(it) << "\n";
  return show(std::move(events), request);
}

ExitCode timeline(const Arguments &logs) {
  if (!logs.empty())
    return showLogs(logs, FLAGS_request);
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
  show(std::move(events), FLAGS_request);
  return printSilent(answers) ? ExitCode::Success : ExitCode::Unreachable;
}

} // namespace cowslipridge::ctl
