#include "soak/Promises.hpp"

#include "soak/Deadlines.hpp"
#include "soak/RetryBudgets.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace cowslipridge::soak {

namespace {

using standins::platform::RequestStep;

/// Requests that may run on more runners than their route allows.
constexpr std::size_t ExcusedExtraRunners = 3;
/// Time for which a runner may work on a stream that went on at another one.
constexpr core::Millis MaxOverlap{400};
/// Share of the requests after the faults that must be served.
constexpr double MinServedShare = 0.9;

/// What runners did with one request.
struct Runs {
  std::size_t Count = 0;
  std::set<std::string> Runners;
  core::Millis LastAt;
};

/// Collects the violations of one history.
class Checker {
public:
  Checker(const History &history, const PromiseLimits &limits)
      : Seen(history), Limits(limits) {
    for (const RunnerStep &it : Seen.Steps) {
      if (it.Step != RequestStep::Run)
        continue;
      Runs &runs = RunsById[it.Id];
      ++runs.Count;
      runs.Runners.insert(it.Runner);
      runs.LastAt = it.At;
    }
  }

  std::vector<Violation> check() {
    for (const CallerAttempt &it : Seen.Attempts)
      LastAttempts.insert_or_assign(it.Id, &it);
    for (const CallerAttempt &it : Seen.Attempts)
      checkAttempt(it);
    for (const Violation &it : findLongDeadlines(Seen))
      Found.push_back(it);
    if (TooManyRunners.size() > ExcusedExtraRunners)
      Found.insert(Found.end(), TooManyRunners.begin(), TooManyRunners.end());
    checkOverlappingRuns();
    for (const Violation &it : findExceededBudgets(Seen, Limits))
      Found.push_back(it);
    checkProcesses();
    checkRecovery();
    std::ranges::stable_sort(Found, {}, &Violation::At);
    return std::move(Found);
  }

private:
  void add(std::string rule, core::Millis at, std::string detail) {
    Found.push_back({std::move(rule), at, std::move(detail)});
  }

  void checkAttempt(const CallerAttempt &attempt) {
    const auto known = RunsById.find(attempt.Id);
    const Runs runs = known == RunsById.end() ? Runs{} : known->second;
    const std::string what = std::string(toString(attempt.Kind)) + " " +
                             attempt.Id + " through gateway " +
                             std::to_string(attempt.Gateway + 1) + ", status " +
                             std::to_string(attempt.Status) + ", ran " +
                             std::to_string(runs.Count) + " times";
    const bool isUnsafe = attempt.Kind == RequestKind::Unsafe;
    // A caller may send a refused request again under its id: all runs belong
    // to the last time.
    const bool isLast = LastAttempts.at(attempt.Id) == &attempt;
    if (isUnsafe && isLast && runs.Count > 1)
      add("TWICE", runs.LastAt, what);
    if (isUnsafe && isLast && promisesNotRun(attempt.Status) && runs.Count > 0)
      add("REFUSED", attempt.EndedAt, what);
    if (attempt.Answer == AnswerState::Wrong)
      add(attempt.Kind == RequestKind::Stream ? "ORDER" : "MIXED",
          attempt.EndedAt, what + ": " + attempt.Problem);
    // All requests with one id are one request.
    if (isLast && runs.Runners.size() > Limits.MaxAttempts)
      TooManyRunners.push_back(
          {"BUDGET", runs.LastAt,
           what + " on " + std::to_string(runs.Runners.size()) + " runners"});
  }

  /// One run of a request.
  struct RunSpan {
    core::Millis Begin;
    std::optional<core::Millis> End;
    std::string Runner;
  };

  [[nodiscard]] std::unordered_map<std::string, std::vector<RunSpan>>
  runSpans() const {
    std::unordered_map<std::string, std::vector<RunSpan>> spans;
    for (const RunnerStep &it : Seen.Steps) {
      std::vector<RunSpan> &runs = spans[it.Id];
      if (it.Step == RequestStep::Run)
        runs.push_back({it.At, std::nullopt, it.Runner});
      if (it.Step != RequestStep::Ended)
        continue;
      const auto run = std::ranges::find_if(runs, [&](const RunSpan &span) {
        return span.Runner == it.Runner && !span.End;
      });
      if (run != runs.end())
        run->End = it.At;
    }
    for (auto &[id, runs] : spans)
      std::ranges::sort(runs, {}, &RunSpan::Begin);
    return spans;
  }

  // A stream that goes on at another runner must have left the one before.
  void checkOverlappingRuns() {
    const auto spans = runSpans();
    for (const CallerAttempt &it : Seen.Attempts) {
      const auto runs = spans.find(it.Id);
      if (it.Kind != RequestKind::Stream || runs == spans.end())
        continue;
      for (std::size_t n = 1; n < runs->second.size(); ++n)
        checkOverlap(it, runs->second[n - 1], runs->second[n]);
    }
  }

  void checkOverlap(const CallerAttempt &attempt, const RunSpan &before,
                    const RunSpan &after) {
    const core::Millis latest = after.Begin + MaxOverlap;
    if (before.Runner == after.Runner || (before.End && *before.End <= latest))
      return;
    const std::string gateway =
        "gateway-" + std::to_string(attempt.Gateway + 1);
    if (isInDisruption(Seen, before.Runner, latest) ||
        isInDisruption(Seen, gateway, latest))
      return;
    add("TWICE", latest,
        "stream " + attempt.Id + " went on at " + after.Runner + " while " +
            before.Runner + " worked on it");
  }

  void checkProcesses() {
    for (const UnexpectedEnd &it : Seen.Ends)
      add("ENDED", it.At,
          it.Process + " ended by itself with " + std::to_string(it.Code));
    for (const MemoryPeak &it : Seen.Memory) {
      if (Limits.MemoryKiB != 0 && it.KiB > Limits.MemoryKiB)
        add("MEMORY", Seen.FaultsEndedAt,
            it.Process + " took " + std::to_string(it.KiB) + " KiB");
    }
  }

  void checkRecovery() {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const CallerAttempt &it : Seen.Attempts) {
      if (it.SentAt < Seen.FaultsEndedAt + Limits.Recovery)
        continue;
      ++sent;
      served += it.Status == 200 && it.Answer == AnswerState::Whole ? 1 : 0;
    }
    if (static_cast<double>(served) <
        MinServedShare * static_cast<double>(sent))
      add("RECOVER", Seen.FaultsEndedAt + Limits.Recovery,
          std::to_string(served) + " of " + std::to_string(sent) + " served");
  }

  const History &Seen;
  const PromiseLimits &Limits;
  std::unordered_map<std::string, Runs> RunsById;
  std::unordered_map<std::string, const CallerAttempt *> LastAttempts;
  std::vector<Violation> TooManyRunners;
  std::vector<Violation> Found;
};

} // namespace

std::vector<Violation> findViolations(const History &history,
                                      const PromiseLimits &limits) {
  return Checker(history, limits).check();
}

} // namespace cowslipridge::soak
