#include "cowslipridge/observe/CauseInference.hpp"

#include "cowslipridge/observe/TimelineMerge.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace cowslipridge::observe {

namespace {

using Indices = std::vector<std::size_t>;

/// Key of the attempts and runs of one request at one instance.
struct RequestAtInstance {
  core::RequestId Request;
  core::InstanceId Instance;
  friend auto operator<=>(const RequestAtInstance &,
                          const RequestAtInstance &) = default;
};

/// One run at a sidecar, as indices of its first and last event; the last one
/// is absent when it is not among the events.
struct Run {
  std::size_t Begin = 0;
  std::optional<std::size_t> End;
};

bool beginsRun(EventNumber number) {
  return number == EventNumber::RunStarted ||
         number == EventNumber::RunRefused ||
         number == EventNumber::RunReplayed;
}

bool endsRun(EventNumber number) {
  return number == EventNumber::RunEnded || number == EventNumber::RunRefused ||
         number == EventNumber::RunReplayed;
}

/// Returns true if the entry's event `next` can follow from the run's last
/// event `end`.
bool followsFrom(EventNumber next, EventNumber end) {
  if (end == EventNumber::RunRefused)
    return next == EventNumber::RequestRetried ||
           next == EventNumber::RequestRefused;
  return next == EventNumber::RequestEnded;
}

class Inference {
public:
  explicit Inference(std::vector<Event> events) : Events(std::move(events)) {
    std::sort(Events.begin(), Events.end(), [](const Event &a, const Event &b) {
      return std::tie(a.Instance, a.Start, a.Sequence) <
             std::tie(b.Instance, b.Start, b.Sequence);
    });
  }

  std::vector<Event> run() {
    for (std::size_t n = 0; n < Events.size(); ++n)
      classify(n);
    for (const auto &[key, indices] : Routed)
      link(indices, Runs[key]);
    return std::move(Events);
  }

private:
  /// Adds event `n` to the attempts or runs of its request.
  void classify(std::size_t n) {
    const Event &event = Events[n];
    if (event.Request.empty())
      return;
    if (event.Number == EventNumber::RequestRouted)
      Routed[{event.Request, core::InstanceId(event.Detail)}].push_back(n);
    else if (beginsRun(event.Number) || endsRun(event.Number))
      addToRuns(n);
  }

  void addToRuns(std::size_t n) {
    const Event &event = Events[n];
    std::vector<Run> &runs = Runs[{event.Request, event.Instance}];
    const bool open = !runs.empty() && !runs.back().End;
    if (!open && !beginsRun(event.Number))
      return; // The start of this run was evicted from the ring.
    if (!open)
      runs.push_back({n, std::nullopt});
    if (endsRun(event.Number))
      runs.back().End = n;
  }

  /// Pairs attempts with runs, starting at the latest, because rings evict the
  /// oldest events first.
  void link(const Indices &routed, const std::vector<Run> &runs) {
    const std::size_t pairs = std::min(routed.size(), runs.size());
    for (std::size_t n = 1; n <= pairs; ++n) {
      const std::size_t attempt = routed[routed.size() - n];
      const Run &run = runs[runs.size() - n];
      setCause(run.Begin, attempt);
      if (run.End)
        linkNextStep(attempt, *run.End);
    }
  }

  /// Sets the run's last event as the cause of the request's next event at the
  /// process that made the attempt.
  void linkNextStep(std::size_t attempt, std::size_t end) {
    const Event &routed = Events[attempt];
    for (std::size_t n = attempt + 1; n < Events.size(); ++n) {
      if (Events[n].Instance != routed.Instance ||
          Events[n].Start != routed.Start)
        return;
      if (Events[n].Request != routed.Request)
        continue;
      if (followsFrom(Events[n].Number, Events[end].Number))
        setCause(n, end);
      return;
    }
  }

  void setCause(std::size_t effect, std::size_t cause) {
    if (Events[effect].Cause.empty())
      Events[effect].Cause = eventIdOf(Events[cause]);
  }

  std::vector<Event> Events; ///< sorted by process and sequence
  std::map<RequestAtInstance, Indices> Routed;
  std::map<RequestAtInstance, std::vector<Run>> Runs;
};

} // namespace

std::vector<Event> inferCauses(std::vector<Event> events) {
  return Inference(std::move(events)).run();
}

} // namespace cowslipridge::observe
