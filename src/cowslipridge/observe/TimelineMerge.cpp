#include "cowslipridge/observe/TimelineMerge.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace cowslipridge::observe {

namespace {

auto keyOf(const Event &event) {
  return std::tie(event.Instance, event.Start, event.Sequence);
}

bool sameProcess(const Event &a, const Event &b) {
  return std::tie(a.Instance, a.Start) == std::tie(b.Instance, b.Start);
}

/// A topological sort that emits the earliest event whose predecessors have all
/// been emitted.
class Merger {
public:
  explicit Merger(std::vector<Event> events) : Events(std::move(events)) {
    std::sort(Events.begin(), Events.end(), [](const Event &a, const Event &b) {
      return keyOf(a) < keyOf(b);
    });
    Events.erase(std::unique(Events.begin(), Events.end(),
                             [](const Event &a, const Event &b) {
                               return keyOf(a) == keyOf(b);
                             }),
                 Events.end());
  }

  std::vector<Event> run() {
    link();
    std::vector<Event> ordered;
    ordered.reserve(Events.size());
    while (ordered.size() < Events.size()) {
      if (Ready.empty())
        breakCycle();
      const std::size_t n = Ready.top().Index;
      Ready.pop();
      Nodes[n].Emitted = true;
      release(n);
      ordered.push_back(Events[n]);
    }
    return ordered;
  }

private:
  struct Node {
    std::size_t PendingPredecessors = 0; ///< not emitted yet
    std::vector<std::size_t> Successors;
    core::Millis Time; ///< own time, or that of a predecessor if later
    bool Queued = false;
    bool Emitted = false;
  };
  struct Candidate {
    core::Millis Time;
    std::size_t Index;
    // Reversed, so that the priority queue has the earliest candidate on top.
    bool operator<(const Candidate &other) const {
      return std::tie(other.Time, other.Index) < std::tie(Time, Index);
    }
  };

  void link() {
    Nodes.resize(Events.size());
    std::unordered_map<std::string, std::size_t> indicesById;
    for (std::size_t n = 0; n < Events.size(); ++n)
      indicesById.emplace(eventIdOf(Events[n]), n);
    for (std::size_t n = 0; n < Events.size(); ++n) {
      Nodes[n].Time = Events[n].At;
      if (n > 0 && sameProcess(Events[n - 1], Events[n]))
        addEdge(n - 1, n);
      const auto cause = indicesById.find(Events[n].Cause);
      if (cause != indicesById.end() && cause->second != n)
        addEdge(cause->second, n);
    }
    for (std::size_t n = 0; n < Nodes.size(); ++n) {
      if (Nodes[n].PendingPredecessors == 0)
        queue(n);
    }
  }

  void addEdge(std::size_t from, std::size_t to) {
    Nodes[from].Successors.push_back(to);
    ++Nodes[to].PendingPredecessors;
  }

  void queue(std::size_t n) {
    if (std::exchange(Nodes[n].Queued, true))
      return;
    Ready.push({Nodes[n].Time, n});
  }

  void release(std::size_t n) {
    for (const std::size_t next : Nodes[n].Successors) {
      Nodes[next].Time = std::max(Nodes[next].Time, Nodes[n].Time);
      if (Nodes[next].PendingPredecessors > 0 &&
          --Nodes[next].PendingPredecessors == 0)
        queue(next);
    }
  }

  /// Breaks a cycle of invalid causes: queues the first remaining event that
  /// has no predecessor left in its own process.
  void breakCycle() {
    for (std::size_t n = 0; n < Nodes.size(); ++n) {
      const bool first = n == 0 || !sameProcess(Events[n - 1], Events[n]) ||
                         Nodes[n - 1].Emitted;
      if (Nodes[n].Queued || !first)
        continue;
      Nodes[n].PendingPredecessors = 0;
      queue(n);
      return;
    }
  }

  std::vector<Event> Events; ///< sorted by process and sequence
  std::vector<Node> Nodes;
  std::priority_queue<Candidate> Ready;
};

} // namespace

std::string eventIdOf(const Event &event) {
  return event.Instance.str() + "/" + std::to_string(event.Start.value()) +
         "/" + std::to_string(event.Sequence);
}

std::vector<Event> mergeTimeline(std::vector<Event> events) {
  return Merger(std::move(events)).run();
}

} // namespace cowslipridge::observe
