#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "standins/platform/PlatformRunner.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::soak {

/// What may be repeated of a request.
enum class RequestKind { Unsafe, Safe, Stream };
std::string_view toString(RequestKind kind);

/// Returns whether the status tells callers that the request did not run and
/// never will. Apart from the gateway's own notion of it, which is under test.
bool promisesNotRun(int status);

/// How much of an answer reached the caller.
enum class AnswerState {
  None,   ///< the connection ended without a response
  Broken, ///< visibly incomplete
  Whole,  ///< complete by its framing and as its runner made it
  Wrong,  ///< complete by its framing, but not what its runner made
};

/// One request of a caller, under an id of its own.
struct CallerAttempt {
  std::string Id;
  RequestKind Kind = RequestKind::Unsafe;
  std::string Service;
  std::size_t Gateway = 0;
  core::Millis SentAt;
  core::Millis EndedAt;
  int Status = 0; ///< 0: no response
  AnswerState Answer = AnswerState::None;
  std::string Problem; ///< of a wrong answer
};

/// What happened to a request at a runner.
struct RunnerStep {
  core::Millis At;
  standins::platform::RequestStep Step =
      standins::platform::RequestStep::Arrived;
  std::string Id;
  std::string Runner;
  std::string Service;
  /// The time that the runner was told to have, if the request arrived with it.
  std::optional<core::Millis> Remaining = {};
};

/// A gateway that ended although nobody ended it.
struct UnexpectedEnd {
  core::Millis At;
  std::string Process;
  int Code = 0;
};

/// The time in which a fault lasted.
struct FaultSpan {
  core::Millis Begin;
  core::Millis End;
  std::string Subject; ///< name of the gateway or the runner; else empty
};

/// The largest memory of a gateway's process.
struct MemoryPeak {
  std::string Process;
  long KiB = 0;
};

/// All that callers, runners and the operating system saw in a run.
struct History {
  std::vector<CallerAttempt> Attempts; ///< that have ended
  std::vector<RunnerStep> Steps;
  std::vector<UnexpectedEnd> Ends;
  std::vector<FaultSpan> Faults;
  std::vector<MemoryPeak> Memory;
  core::Millis FaultsEndedAt;
};

/// Returns whether a fault of the gateway or the runner explains what happened
/// at a time: it lasted then, or had ended shortly before.
[[nodiscard]] bool isInDisruption(const History &history,
                                  const std::string &subject, core::Millis at);

/// Returns the line of a runner's journal for a step.
std::string formatStep(core::Millis at,
                       const standins::platform::RequestStepReport &report);
/// Reads the journal that a runner has written. A last line that is incomplete
/// is left out.
std::vector<RunnerStep> readSteps(const std::string &path,
                                  const std::string &runner,
                                  const std::string &service);

} // namespace cowslipridge::soak
