#pragma once

#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/config/ContentHash.hpp"
#include "cowslipridge/config/FollowerStateMachine.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/core/Visit.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace cowslipridge::support {

/// Thrown when a generated sequence violates an invariant of the followers.
class InvariantViolation : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Simulates several followers, a store and a network that delays, reorders and
/// loses messages; driven by one seed. Throws InvariantViolation when a
/// follower goes back to an older configuration, has one in force that was
/// never published, or claims a confirmation that it cannot have.
class FollowerFleetSimulation {
public:
  FollowerFleetSimulation(std::size_t size, config::FollowerSettings settings,
                          std::uint64_t seed)
      : Settings(settings), Random(seed), Nodes(size) {
    for (std::size_t n = 0; n < size; ++n)
      restart(n);
    publish();
  }

  /// Performs one random event.
  void step() {
    Now = Now + core::Millis(static_cast<std::int64_t>(roll(400)));
    answerWatches();
    switch (roll(12)) {
    case 0:
      publish();
      break;
    case 1:
      restart(roll(Nodes.size()));
      break;
    case 2:
      Outage = !Outage;
      break;
    case 3:
    case 4:
      loseRandomMessage();
      break;
    case 5:
    case 6:
      sendReport(roll(Nodes.size()), roll(Nodes.size()));
      break;
    case 7:
    case 8:
      tick(roll(Nodes.size()));
      break;
    default:
      deliverRandomMessage();
    }
    checkConfirmations();
  }

  /// Ends all faults and runs for `duration`. With `peersReport`, each follower
  /// reports to the next one every 100 ms.
  void recover(core::Millis duration, bool peersReport) {
    Outage = false;
    const core::Millis end = Now + duration;
    while (Now < end) {
      Now = Now + core::Millis(100);
      answerWatches();
      for (std::size_t n = 0; n < Nodes.size(); ++n) {
        tick(n);
        if (peersReport)
          sendReport(n, (n + 1) % Nodes.size());
      }
      for (std::size_t n = Network.size(); n > 0; --n)
        deliverFront();
      checkConfirmations();
    }
  }

  [[nodiscard]] bool converged() const {
    for (const Node &it : Nodes) {
      if (it.Machine->generation() != Newest.Number || it.Machine->stale(Now))
        return false;
    }
    return true;
  }

  [[nodiscard]] std::size_t storeCalls() const { return StoreCalls; }

  void publish() {
    const std::string name = "s" + std::to_string(roll(3));
    config::ServiceContent content;
    content.Publication = "p" + std::to_string(Newest.Number.value() + 1);
    content.Service.Name = core::ServiceId(name);
    content.Service.Deadline =
        core::Millis(static_cast<std::int64_t>(Newest.Number.value()));
    const std::string text = config::encodeContent(content);
    const std::string hash = config::contentHash(text);
    config::ManifestEntry &entry = Newest.Services[content.Service.Name];
    if (roll(2) == 0)
      Contents.erase(entry.Content); // retired immediately: the worst case
    Newest.Number = Newest.Number.next();
    entry = {hash, Newest.Number, "operator", content.Publication};
    Contents[hash] = text;
    ManifestText = config::encodeManifest(Newest);
    ExpectedBundle.Number = Newest.Number;
    ExpectedBundle.Services[content.Service.Name] = content.Service;
    PublishedBundles[Newest.Number] = ExpectedBundle;
    PublishedAt[Newest.Number] = Now;
    answerWatches();
  }

private:
  struct Node {
    std::optional<config::FollowerStateMachine> Machine;
    std::uint64_t Incarnation = 0;
    core::Generation HighestGeneration;
  };
  using Event =
      std::function<config::FollowerActions(config::FollowerStateMachine &)>;
  struct Message {
    std::size_t To = 0;
    std::uint64_t Incarnation = 0;
    Event Deliver;
    Event Lose; ///< how the receiver sees the loss; may be empty
  };
  struct Watch {
    std::size_t From = 0;
    std::uint64_t Incarnation = 0;
    std::uint64_t Index = 0;
    core::Millis DueAt;
  };
  using Text = core::Result<std::optional<std::string>>;

  std::size_t roll(std::size_t sides) {
    return core::uniformIndex(Random, sides);
  }

  static core::InstanceId nameOf(std::size_t n) {
    return core::InstanceId("node-" + std::to_string(n));
  }

  void restart(std::size_t n) {
    Nodes[n].Machine.emplace(Settings, nameOf(n));
    Nodes[n].Machine->setFleetSize(Nodes.size());
    Nodes[n].HighestGeneration = core::Generation();
    ++Nodes[n].Incarnation;
  }

  void tick(std::size_t n) { perform(n, Nodes[n].Machine->tick(Now)); }

  /// Sends the reply of `from` to an exchange that `to` starts now.
  void sendReport(std::size_t from, std::size_t to) {
    if (from == to)
      return;
    const config::FollowerStateMachine &sender = *Nodes[from].Machine;
    const config::PeerConfiguration report{sender.generation(), sender.age(Now),
                                           Now};
    send(to,
         [this, from, report](config::FollowerStateMachine &x) {
           return x.onPeerReport(nameOf(from), report, Now);
         },
         {});
  }

  void send(std::size_t to, Event deliver, Event lose) {
    Network.push_back(
        {to, Nodes[to].Incarnation, std::move(deliver), std::move(lose)});
  }

  void deliverRandomMessage() {
    if (Network.empty())
      return;
    std::swap(Network.front(), Network[roll(Network.size())]);
    deliverFront();
  }

  void deliverFront() {
    Message message = std::move(Network.front());
    Network.pop_front();
    run(message, message.Deliver);
  }

  void loseRandomMessage() {
    if (Network.empty())
      return;
    std::swap(Network.front(), Network[roll(Network.size())]);
    const Message message = std::move(Network.front());
    Network.pop_front();
    if (message.Lose)
      run(message, message.Lose);
  }

  void run(const Message &message, const Event &event) {
    Node &node = Nodes[message.To];
    if (node.Incarnation == message.Incarnation)
      perform(message.To, event(*node.Machine));
  }

  void perform(std::size_t n, const config::FollowerActions &actions) {
    for (const config::FollowerAction &it : actions)
      std::visit([&](const auto &x) { act(n, x); }, it);
  }

  void act(std::size_t n, const config::ReadManifest &x) {
    ++StoreCalls;
    Watches.push_back({n, Nodes[n].Incarnation, x.Index, Now + x.Wait});
    answerWatches();
  }

  /// Answers each watch that is due or that a change ends. The network may
  /// delay the answer for a long time.
  void answerWatches() {
    std::vector<Watch> waiting;
    for (const Watch &it : Watches) {
      const bool changed = it.Index != Newest.Number.value();
      if (Now < it.DueAt && !changed && !Outage)
        waiting.push_back(it);
      else
        answerWatch(it);
    }
    Watches = std::move(waiting);
  }

  void answerWatch(const Watch &watch) {
    const Text answer = Outage ? Text(core::Errc::StoreUnavailable)
                               : Text(std::optional(ManifestText));
    const std::uint64_t index = Newest.Number.value();
    if (Nodes[watch.From].Incarnation != watch.Incarnation)
      return;
    send(
        watch.From,
        [this, answer, index](config::FollowerStateMachine &x) {
          return x.onManifest(answer, index, Now);
        },
        [this](config::FollowerStateMachine &x) {
          return x.onManifest(core::Errc::StoreUnavailable, 0, Now);
        });
  }

  void act(std::size_t n, const config::ReadContent &x) {
    ++StoreCalls;
    Text answer = std::optional<std::string>();
    const auto found = Contents.find(x.Hash);
    if (Outage)
      answer = core::Errc::StoreUnavailable;
    else if (found != Contents.end())
      answer = std::optional(roll(16) == 0 ? damaged() : found->second);
    send(
        n,
        [this, answer, hash = x.Hash](config::FollowerStateMachine &y) {
          return y.onContent(hash, answer, Now);
        },
        [this, hash = x.Hash](config::FollowerStateMachine &y) {
          return y.onContent(hash, core::Errc::StoreUnavailable, Now);
        });
  }

  /// Returns a valid content that does not match the requested hash.
  static std::string damaged() {
    config::ServiceContent content;
    content.Service.Name = core::ServiceId("damaged");
    return config::encodeContent(content);
  }

  void act(std::size_t n, const config::PullBundle &x) {
    for (std::size_t from = 0; from < Nodes.size(); ++from) {
      if (nameOf(from) != x.Peer)
        continue;
      const auto &bundle = Nodes[from].Machine->inForce();
      core::Result<std::string> text = core::Errc::Internal;
      if (bundle)
        text = config::encodeBundle(*bundle);
      send(n,
           [this, text, peer = x.Peer](config::FollowerStateMachine &y) {
             return y.onBundle(peer, text, Now);
           },
           {});
    }
  }

  void act(std::size_t n, const config::PutInForce &x) {
    if (x.Value->Number <= Nodes[n].HighestGeneration)
      throw InvariantViolation("reverted generation");
    Nodes[n].HighestGeneration = x.Value->Number;
    const auto published = PublishedBundles.find(x.Value->Number);
    if (published == PublishedBundles.end() || published->second != *x.Value)
      throw InvariantViolation("never published");
  }

  void act(std::size_t /*n*/, const config::ReportStale & /*x*/) {}
  void act(std::size_t /*n*/, const config::ReportConfirmed & /*x*/) {}
  void act(std::size_t /*n*/, const config::ReportUnreadable & /*x*/) {}

  /// Checks that no follower claims a confirmation at a time when a newer
  /// configuration had already been published.
  void checkConfirmations() const {
    for (const Node &it : Nodes) {
      const auto next = PublishedAt.find(it.Machine->generation().next());
      if (next == PublishedAt.end())
        continue;
      if (Now - it.Machine->age(Now) > next->second)
        throw InvariantViolation("false confirmation");
    }
  }

  const config::FollowerSettings Settings;
  core::Random Random;
  core::Millis Now{1'000'000};
  std::vector<Node> Nodes;
  std::deque<Message> Network;
  std::vector<Watch> Watches;
  bool Outage = false;
  std::size_t StoreCalls = 0;
  config::Manifest Newest;
  std::string ManifestText;
  std::map<std::string, std::string> Contents;
  config::Bundle ExpectedBundle;
  std::map<core::Generation, config::Bundle> PublishedBundles;
  std::map<core::Generation, core::Millis> PublishedAt;
};

} // namespace cowslipridge::support
