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

/// Returns the events that one instance still holds. Prints an error and
/// returns none if its response cannot be decoded.
std::vector<observe::Event> eventsOf(const InstanceAnswer &answer) {
  if (!answer.Answer.ok() || answer.Answer->Status != StatusOk)
    return {};
  auto events = observe::decodeEvents(answer.Answer->Body);
  if (events.ok())
    return std::move(events).value();
  std::cerr << "cowslipctl: " << answer.Instance.Name.str()
            << ": cannot decode the timeline\n";
  return {};
}

void filterByRequest(std::vector<observe::Event> &events,
                     const std::string &request) {
  std::erase_if(events, [&](const observe::Event &x) {
    return x.Request.str() != request;
  });
}

} // namespace

namespace {

ExitCode printTimeline(std::vector<observe::Event> events,
                       const std::string &request) {
  // Merged before filtering, so that events of other requests still count as
  // causes.
  events = observe::mergeTimeline(observe::inferCauses(std::move(events)));
  if (!request.empty())
    filterByRequest(events, request);
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
        std::cerr << "cowslipctl: " << it << ": cannot be opened\n";
        return ExitCode::Usage;
      }
    }
    std::istream &in = it == StandardInput ? std::cin : file;
    const auto more = observe::readLog(in, it, findings);
    events.insert(events.end(), more.begin(), more.end());
  }
  for (const core::Finding &it : findings.items())
    std::cerr << core::toString(it) << "\n";
  return printTimeline(std::move(events), request);
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
  const auto answers = queryInstances(*instances, "/admin/timeline", *key);
  std::vector<observe::Event> events;
  for (const InstanceAnswer &it : answers) {
    const auto more = eventsOf(it);
    events.insert(events.end(), more.begin(), more.end());
  }
  printTimeline(std::move(events), FLAGS_request);
  return printFailedInstances(answers) ? ExitCode::Success
                                       : ExitCode::Unreachable;
}

} // namespace cowslipridge::ctl
