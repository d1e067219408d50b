// Measures the store calls and the time that a configuration change needs until
// it is in force at all daemons of a fleet. Runs config::FollowerStateMachine
// against a simulated store and simulated messages; the results describe this
// simulation, not a real network.

#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/config/ContentHash.hpp"
#include "cowslipridge/config/FollowerStateMachine.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/core/Visit.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <vector>

namespace {

using namespace cowslipridge;
using namespace cowslipridge::config;

constexpr core::Millis Step{10}; ///< simulation step and message delay
constexpr core::Millis TickInterval{250};
constexpr core::Millis WarmUp{20'000};
constexpr core::Millis IdleTime{60'000};
constexpr core::Millis SpreadLimit{30'000};
constexpr int Changes = 10;
constexpr std::size_t Services = 15;
constexpr std::uint64_t Seed = 20'261'203;
constexpr double MillisPerSecond = 1'000;

struct Fleet {
  std::size_t Entries;
  std::size_t Sidecars;
};

struct Costs {
  std::size_t StoreCalls = 0;
  std::size_t Pulls = 0;
};

/// Simulates entries and sidecars that exchange messages at a given rate.
class Model {
public:
  Model(Fleet fleet, unsigned watchers, double messagesPerSecond)
      : Shape(fleet), Rate(messagesPerSecond), Random(Seed) {
    FollowerSettings settings;
    settings.TargetWatchers = watchers;
    const std::size_t size = fleet.Entries + fleet.Sidecars;
    for (std::size_t n = 0; n < size; ++n) {
      Nodes.emplace_back(settings, instanceId(n));
      Nodes.back().setFleetSize(size);
    }
    for (std::size_t n = 0; n < Services; ++n)
      publish("service-" + std::to_string(n));
  }

  void run(core::Millis length) {
    const core::Millis end = Now + length;
    while (Now < end)
      step();
  }

  /// Publishes one change and returns the time until it is in force at each
  /// node that applies it within `SpreadLimit`.
  std::vector<core::Millis> spread() {
    publish("service-0");
    const core::Millis start = Now;
    std::vector<core::Millis> times;
    while (times.size() < Nodes.size() && Now - start < SpreadLimit) {
      step();
      const auto done = static_cast<std::size_t>(
          std::count_if(Nodes.begin(), Nodes.end(), [&](const auto &x) {
            return x.generation() == Newest.Number;
          }));
      times.resize(std::max(times.size(), done), Now - start);
    }
    return times;
  }

  Costs resetCosts() { return std::exchange(Total, Costs()); }

private:
  using Event = std::function<void()>;
  struct Watch {
    std::size_t From;
    core::Millis DueAt;
    std::uint64_t Index;
  };

  static core::InstanceId instanceId(std::size_t n) {
    return core::InstanceId("instance-" + std::to_string(n));
  }

  void publish(const std::string &name) {
    Newest.Number = Newest.Number.next();
    ServiceContent content;
    content.Publication = std::to_string(Newest.Number.value());
    content.Service.Name = core::ServiceId(name);
    const std::string text = encodeContent(content);
    const std::string hash = contentHash(text);
    Contents[hash] = text;
    Newest.Services[content.Service.Name] = {hash, Newest.Number, "operator",
                                             content.Publication};
    ManifestText = encodeManifest(Newest);
  }

  void step() {
    Now = Now + Step;
    answerWatches();
    std::vector<Event> due;
    due.swap(Messages);
    for (const Event &it : due)
      it();
    for (std::size_t n = 0; n < Nodes.size(); ++n) {
      const auto phase = core::Millis(static_cast<std::int64_t>(n) * 10);
      if ((Now + phase).count() % TickInterval.count() == 0)
        perform(n, Nodes[n].tick(Now));
    }
    exchangeMessages();
  }

  /// Lets each entry call random sidecars. Each call carries the configuration
  /// status of both peers.
  void exchangeMessages() {
    const double perStep =
        Rate * static_cast<double>(Step.count()) / MillisPerSecond;
    for (std::size_t n = 0; n < Shape.Entries; ++n) {
      if (core::uniform(Random) >= perStep)
        continue;
      const std::size_t to =
          Shape.Entries + core::uniformIndex(Random, Shape.Sidecars);
      report(n, to, Now + Step);
      report(to, n, Now);
    }
  }

  void report(std::size_t from, std::size_t to, core::Millis sentAfter) {
    const PeerConfiguration status{Nodes[from].generation(),
                                   Nodes[from].age(Now), sentAfter};
    Messages.emplace_back([this, from, to, status] {
      perform(to, Nodes[to].onPeerReport(instanceId(from), status, Now));
    });
  }

  void perform(std::size_t n, const FollowerActions &actions) {
    for (const FollowerAction &it : actions)
      std::visit([&](const auto &x) { act(n, x); }, it);
  }

  void act(std::size_t n, const ReadManifest &x) {
    ++Total.StoreCalls;
    Watches.push_back({n, Now + x.Wait, x.Index});
  }

  void answerWatches() {
    std::vector<Watch> waiting;
    for (const Watch &it : std::exchange(Watches, {})) {
      if (Now < it.DueAt && it.Index == Newest.Number.value()) {
        waiting.push_back(it);
        continue;
      }
      Messages.emplace_back(
          [this, it, text = ManifestText, index = Newest.Number.value()] {
            perform(it.From,
                    Nodes[it.From].onManifest(std::optional(text), index, Now));
          });
    }
    Watches = std::move(waiting);
  }

  void act(std::size_t n, const ReadContent &x) {
    ++Total.StoreCalls;
    Messages.emplace_back([this, n, hash = x.Hash] {
      perform(n,
              Nodes[n].onContent(hash, std::optional(Contents.at(hash)), Now));
    });
  }

  void act(std::size_t n, const PullBundle &x) {
    ++Total.Pulls;
    const std::string name = x.Peer.str();
    const std::size_t from = std::stoul(name.substr(name.rfind('-') + 1));
    const std::string text = encodeBundle(*Nodes[from].inForce());
    Messages.emplace_back([this, n, text, peer = x.Peer] {
      perform(n, Nodes[n].onBundle(peer, text, Now));
    });
  }

  void act(std::size_t /*n*/, const PutInForce & /*x*/) {}
  void act(std::size_t /*n*/, const ReportStale & /*x*/) {}
  void act(std::size_t /*n*/, const ReportConfirmed & /*x*/) {}
  void act(std::size_t /*n*/, const ReportUnreadable & /*x*/) {}

  const Fleet Shape;
  const double Rate;
  core::Random Random;
  core::Millis Now{1'000'000};
  std::vector<FollowerStateMachine> Nodes;
  std::vector<Event> Messages;
  std::vector<Watch> Watches;
  Manifest Newest;
  std::string ManifestText;
  std::map<std::string, std::string> Contents;
  Costs Total;
};

core::Millis percentile(std::vector<core::Millis> times, double share) {
  if (times.empty())
    return SpreadLimit;
  std::sort(times.begin(), times.end());
  const auto last = static_cast<double>(times.size() - 1);
  return times[static_cast<std::size_t>(share * last)];
}

void measure(Fleet fleet, unsigned watchers, double rate) {
  Model model(fleet, watchers, rate);
  model.run(WarmUp);
  model.resetCosts();
  model.run(IdleTime);
  const Costs idle = model.resetCosts();
  std::vector<core::Millis> all;
  Costs change;
  for (int n = 0; n < Changes; ++n) {
    const auto times = model.spread();
    all.insert(all.end(), times.begin(), times.end());
    const Costs cost = model.resetCosts();
    change.StoreCalls += cost.StoreCalls;
    change.Pulls += cost.Pulls;
    model.run(WarmUp);
    model.resetCosts();
  }
  const double idleSeconds =
      static_cast<double>(IdleTime.count()) / MillisPerSecond;
  std::printf("%7zu %8u %9.1f %12.1f %12.1f %10.1f %8lld %8lld %8lld\n",
              fleet.Entries + fleet.Sidecars, watchers, rate,
              static_cast<double>(idle.StoreCalls) / idleSeconds,
              static_cast<double>(change.StoreCalls) / Changes,
              static_cast<double>(change.Pulls) / Changes,
              static_cast<long long>(percentile(all, 0.5).count()),
              static_cast<long long>(percentile(all, 0.99).count()),
              static_cast<long long>(percentile(all, 1).count()));
}

} // namespace

int main() {
  constexpr Fleet Small{4, 16};
  constexpr Fleet Medium{100, 150};
  constexpr Fleet Large{390, 600};
  constexpr unsigned AllDaemons = 100'000;
  constexpr unsigned FewWatchers = 32;
  std::printf("%7s %8s %9s %12s %12s %10s %8s %8s %8s\n", "daemons", "watchers",
              "calls/s", "store/s", "store/change", "pulls", "p50 ms", "p99 ms",
              "max ms");
  for (const Fleet &fleet : {Small, Medium, Large}) {
    for (const double rate : {10.0, 1.0, 0.1}) {
      measure(fleet, FewWatchers, rate);
      measure(fleet, AllDaemons, rate);
    }
  }
  return 0;
}
