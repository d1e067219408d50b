#pragma once

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/limits/AdmissionPolicy.hpp"
#include "cowslipridge/limits/OrganisationShares.hpp"
#include "cowslipridge/limits/ReturnSlots.hpp"
#include "cowslipridge/limits/ServedShares.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// A gateway that admits requests by AdmissionPolicy, and runners that read
/// prompts in the order of their priorities, without a network.
namespace cowslipridge::support {

/// One kind of requests, as the routes of the design page.
struct LoadKind {
  std::string Name;
  int Rank = 0;
  std::int64_t Target = 0;
  std::int64_t Timeout = 0;
  std::int64_t MinWork = 0; ///< ms at an idle runner
  std::int64_t MaxWork = 0;
  double PerSecond = 0;
  double BurstFactor = 1; ///< of the rate, during the burst
  std::string Organisation = "everyone";
};

struct LoadPlan {
  std::vector<LoadKind> Kinds; ///< the first one has the shortest target
  std::size_t Runners = 10;
  std::size_t RunnersInBurst = 10;
  std::int64_t BurstStart = 20'000;
  std::int64_t BurstEnd = 50'000;
  std::int64_t End = 70'000;
  bool ObeysRetryAfter = true;
  bool PreventsStarvation = true;
  bool Order = true; ///< false: all are sent in the order of their arrival
};

/// How many requests that arrived during the burst got a first token before
/// their deadlines, and before their targets.
struct LoadResult {
  unsigned Arrived = 0;
  unsigned Served = 0;
  unsigned InTime = 0;
  [[nodiscard]] double served() const {
    return Arrived == 0 ? 1 : static_cast<double>(Served) / Arrived;
  }
  [[nodiscard]] double inTime() const {
    return Arrived == 0 ? 1 : static_cast<double>(InTime) / Arrived;
  }
  LoadResult &operator+=(const LoadResult &other) {
    Arrived += other.Arrived;
    Served += other.Served;
    InTime += other.InTime;
    return *this;
  }
};

class AdmissionSimulation {
public:
  AdmissionSimulation(LoadPlan plan, std::uint64_t seed)
      : Plan(std::move(plan)), Generator(seed), Runners(Plan.Runners) {}

  void run() {
    // Longer than any deadline, so that each request ends.
    constexpr std::int64_t Tail = 20'000;
    for (Now = 0; Now < Plan.End + Tail; Now += Step) {
      if (Now == Plan.BurstStart)
        loseRunners();
      if (Now < Plan.End)
        arrivals();
      runnersStep();
      reconsiderHeld();
      returns();
    }
  }

  /// Returns the result of the requests for which the condition holds, out of
  /// those that arrived during the burst.
  template <typename Condition>
  [[nodiscard]] LoadResult resultWhere(Condition condition) const {
    LoadResult result;
    for (const Request &it : Requests) {
      if (it.ArrivedAt < Plan.BurstStart || it.ArrivedAt >= Plan.BurstEnd ||
          !condition(Plan.Kinds[it.Kind], it.Work))
        continue;
      const bool served = it.FirstTokenAt > 0 &&
                          it.FirstTokenAt <= it.ArrivedAt + kind(it).Timeout;
      const bool inTime =
          served && it.FirstTokenAt <= it.ArrivedAt + kind(it).Target;
      result += {1, served ? 1U : 0U, inTime ? 1U : 0U};
    }
    return result;
  }
  [[nodiscard]] LoadResult of(const std::string &name) const {
    return resultWhere(
        [&](const LoadKind &it, auto) { return it.Name == name; });
  }
  [[nodiscard]] LoadResult all() const {
    return resultWhere([](const auto &, auto) { return true; });
  }
  /// Returns the longest time that a request was held, as a part of its target.
  [[nodiscard]] double longestHold() const { return LongestHold; }
  [[nodiscard]] std::size_t held() const { return Held.size(); }
  [[nodiscard]] unsigned rejections() const { return Rejections; }

private:
  static constexpr std::int64_t Step = 5;

  struct Request {
    std::size_t Kind = 0;
    std::int64_t ArrivedAt = 0;
    std::int64_t Work = 0;
    std::int64_t FirstTokenAt = 0;
    bool Returned = false;
    bool Waiting = false; ///< at a runner or held
  };
  struct Queued {
    int Priority = 0;
    std::size_t Request = 0;
    std::int64_t Left = 0;
    friend auto operator<=>(const Queued &, const Queued &) = default;
  };
  struct Runner {
    bool Up = true;
    std::vector<Queued> Queue; ///< the first is being read
    /// Returns the work that is read before a request of the priority.
    [[nodiscard]] std::int64_t pending(int priority = 9) const {
      std::int64_t sum = 0;
      for (std::size_t n = 0; n < Queue.size(); ++n)
        if (n == 0 || Queue[n].Priority <= priority)
          sum += Queue[n].Left;
      return sum;
    }
  };
  struct Return {
    std::int64_t At = 0;
    std::size_t Request = 0;
  };

  [[nodiscard]] const LoadKind &kind(const Request &request) const {
    return Plan.Kinds[request.Kind];
  }
  void arrivals() {
    for (std::size_t n = 0; n < Plan.Kinds.size(); ++n) {
      const LoadKind &it = Plan.Kinds[n];
      const bool inBurst = Now >= Plan.BurstStart && Now < Plan.BurstEnd;
      const double rate = it.PerSecond * (inBurst ? it.BurstFactor : 1);
      if (core::uniform(Generator) >= rate * Step / 1'000)
        continue;
      const auto span = static_cast<double>(it.MaxWork - it.MinWork);
      Request request;
      request.Kind = n;
      request.ArrivedAt = Now;
      request.Work = it.MinWork +
                     static_cast<std::int64_t>(core::uniform(Generator) * span);
      Requests.push_back(request);
      admit(Requests.size() - 1);
    }
  }

  void loseRunners() {
    for (std::size_t n = Plan.RunnersInBurst; n < Runners.size(); ++n) {
      Runners[n].Up = false;
      for (const Queued &it : std::exchange(Runners[n].Queue, {})) {
        Requests[it.Request].Returned = true;
        admit(it.Request);
      }
    }
  }

  Runner &leastLoaded() {
    return *std::min_element(
        Runners.begin(), Runners.end(), [](const Runner &a, const Runner &b) {
          return std::pair(!a.Up, a.pending()) < std::pair(!b.Up, b.pending());
        });
  }

  void admit(std::size_t index) {
    Request &request = Requests[index];
    Runner &runner = leastLoaded();
    const LoadKind &its = kind(request);
    const core::OrganisationId organisation(its.Organisation);
    limits::AdmissionFacts facts;
    facts.Rank = its.Rank;
    facts.ArrivedAt = core::Millis(request.ArrivedAt);
    facts.Target = core::Millis(its.Target);
    facts.ShortestTarget = core::Millis(Plan.Kinds.front().Target);
    facts.Deadline = core::Millis(request.ArrivedAt + its.Timeout);
    facts.Work.FirstToken = core::Millis(request.Work);
    for (int n = 0; n <= 9; ++n)
      facts.Work.Ahead.at(static_cast<std::size_t>(n)) =
          core::Millis(runner.pending(n));
    const double all = Ended.share("", core::Millis(Now));
    const double own = Ended.share(its.Name, core::Millis(Now));
    facts.RarelyServed =
        Plan.PreventsStarvation && own < limits::ServedShares::RareOfAll * all;
    facts.SizeRarelyServed = Plan.PreventsStarvation &&
                             Ended.share(sizeOf(request), core::Millis(Now)) <
                                 limits::ServedShares::RareOfKind * own;
    facts.Returned = request.Returned;
    facts.OverShare = Shares.isOver(organisation, core::Millis(Now));
    for (const Request &it : Requests)
      if (it.Waiting && kind(it).Rank < its.Rank)
        ++facts.MoreUrgentWaiting;
    const limits::Capacity capacity{{}, core::Millis(100)};
    if (!Plan.Order) {
      send(runner, index, 0);
      return;
    }
    const bool scarce = limits::AdmissionPolicy::isScarce(facts, capacity);
    std::visit(
        core::Overloaded{
            [&](const limits::SendNow &it) {
              send(runner, index, it.EnginePriority);
              Shares.record(organisation, static_cast<double>(request.Work),
                            scarce, core::Millis(Now));
            },
            [&](const limits::HoldUntil &it) { hold(index, it); },
            [&](const limits::RejectNow &it) { reject(index, it); }},
        limits::AdmissionPolicy::decide(facts, capacity, core::Millis(Now)));
  }

  /// Returns the key of requests of the same kind and about the same size.
  [[nodiscard]] std::string sizeOf(const Request &request) const {
    const LoadKind &its = kind(request);
    const std::int64_t tenth =
        10 * (request.Work - its.MinWork) / (its.MaxWork - its.MinWork);
    return its.Name + "/" + std::to_string(tenth);
  }

  void recordEnd(const Request &request, bool served) {
    for (const std::string &it :
         {std::string(), kind(request).Name, sizeOf(request)})
      Ended.record(it, served, core::Millis(Now));
  }

  void send(Runner &runner, std::size_t index, int priority) {
    Requests[index].Waiting = true;
    const Queued queued{priority, index, Requests[index].Work};
    // What the runner reads already is not preempted.
    const auto first = runner.Queue.begin() + (runner.Queue.empty() ? 0 : 1);
    runner.Queue.insert(std::upper_bound(first, runner.Queue.end(), queued,
                                         [](const Queued &a, const Queued &b) {
                                           return a.Priority < b.Priority;
                                         }),
                        queued);
  }

  void hold(std::size_t index, const limits::HoldUntil &decision) {
    const Request &request = Requests[index];
    Held.emplace(std::pair(decision.Place, index), decision.Until.count());
    Requests[index].Waiting = true;
    LongestHold =
        std::max(LongestHold, static_cast<double>(decision.Until.count() -
                                                  request.ArrivedAt) /
                                  static_cast<double>(kind(request).Target));
  }

  // The order of the map is the order of release.
  void reconsiderHeld() {
    for (const auto &[key, until] : std::exchange(Held, {})) {
      Requests[key.second].Waiting = false;
      admit(key.second);
    }
  }

  void reject(std::size_t index, const limits::RejectNow &decision) {
    Request &request = Requests[index];
    ++Rejections;
    recordEnd(request, false);
    if (request.Returned)
      return;
    const std::int64_t left = request.ArrivedAt + kind(request).Timeout - Now;
    const core::Millis after = Slots.next(
        {kind(request).Rank, core::Millis(left), decision.RetryAfter},
        core::Millis(Now));
    request.Returned = true;
    Returns.push_back(
        {Now + (Plan.ObeysRetryAfter ? after.count() : Step), index});
  }

  void returns() {
    for (const Return &it : std::exchange(Returns, {})) {
      if (it.At <= Now)
        admit(it.Request);
      else
        Returns.push_back(it);
    }
  }

  void runnersStep() {
    for (Runner &it : Runners) {
      std::int64_t time = Step;
      while (time > 0 && !it.Queue.empty()) {
        Queued &first = it.Queue.front();
        Request &request = Requests[first.Request];
        // The engine drops what is past its deadline before it begins.
        const bool expired = first.Left == request.Work &&
                             Now > request.ArrivedAt + kind(request).Timeout;
        const std::int64_t used = expired ? 0 : std::min(time, first.Left);
        first.Left -= used;
        time -= used;
        if (!expired && first.Left > 0)
          continue;
        request.Waiting = false;
        recordEnd(request, !expired);
        if (!expired) {
          request.FirstTokenAt = Now;
          Slots.onFirstToken(core::Millis(Now));
        }
        it.Queue.erase(it.Queue.begin());
      }
    }
  }

  LoadPlan Plan;
  core::Random Generator;
  std::vector<Runner> Runners;
  std::vector<Request> Requests;
  std::map<std::pair<limits::ReleaseOrder, std::size_t>, std::int64_t> Held;
  std::vector<Return> Returns;
  limits::OrganisationShares Shares;
  limits::ServedShares Ended;
  limits::ReturnSlots Slots;
  std::int64_t Now = 0;
  unsigned Rejections = 0;
  double LongestHold = 0;
};

/// Returns the kinds of the design page at 0.8 of the capacity of ten runners.
inline std::vector<LoadKind> usualKinds() {
  return {{"short", 0, 1'500, 15'000, 100, 400, 8, 1, "a"},
          {"medium", 1, 2'000, 8'000, 200, 700, 6, 1, "b"},
          {"long", 2, 6'000, 12'000, 300, 1'500, 3.6, 1, "c"}};
}

} // namespace cowslipridge::support
