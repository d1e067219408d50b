#include "soak/History.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace cowslipridge::soak {

namespace {

using standins::platform::RequestStep;

/// Time after a fault in which its effects are excused.
constexpr core::Millis ContactTime{3'000};

constexpr std::array<std::pair<std::string_view, RequestStep>, 3> StepWords = {
    {{"arrived", RequestStep::Arrived},
     {"run", RequestStep::Run},
     {"ended", RequestStep::Ended}}};

} // namespace

std::string_view toString(RequestKind kind) {
  switch (kind) {
  case RequestKind::Unsafe:
    return "unsafe";
  case RequestKind::Safe:
    return "safe";
  case RequestKind::Stream:
    break;
  }
  return "stream";
}

bool promisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isInDisruption(const History &history, const std::string &subject,
                    core::Millis at) {
  return std::ranges::any_of(history.Faults, [&](const FaultSpan &it) {
    return it.Subject == subject && at >= it.Begin && at < it.End + ContactTime;
  });
}

std::string formatStep(core::Millis at,
                       const standins::platform::RequestStepReport &report) {
  const auto *word =
      std::ranges::find(StepWords, report.Step,
                        &std::pair<std::string_view, RequestStep>::second);
  std::string line = std::to_string(at.count()) + " " +
                     std::string(word->first) + " " + report.Id;
  if (report.Remaining)
    line += " " + std::to_string(report.Remaining->count());
  return line + "\n";
}

std::vector<RunnerStep> readSteps(const std::string &path,
                                  const std::string &runner,
                                  const std::string &service) {
  std::vector<RunnerStep> steps;
  std::ifstream in(path);
  std::string line;
  while (std::getline(in, line) && !in.eof()) {
    std::istringstream words(line);
    std::int64_t at = 0;
    std::string step;
    RunnerStep read;
    words >> at >> step >> read.Id;
    read.At = core::Millis(at);
    if (std::int64_t remaining = 0; words >> remaining)
      read.Remaining = core::Millis(remaining);
    const auto *known = std::ranges::find(
        StepWords, step, &std::pair<std::string_view, RequestStep>::first);
    if (known == StepWords.end())
      throw std::runtime_error("unknown step in the journal " + path);
    read.Step = known->second;
    read.Runner = runner;
    read.Service = service;
    steps.push_back(std::move(read));
  }
  return steps;
}

} // namespace cowslipridge::soak
