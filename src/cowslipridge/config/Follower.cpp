#include "cowslipridge/config/Follower.hpp"

#include "cowslipridge/config/BundleCodec.hpp"
#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <mutex>
#include <utility>

namespace cowslipridge::config {

class Follower::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(FollowerSettings settings, const core::InstanceId &self,
       std::shared_ptr<backing::Store> store, const core::Clock &clock,
       observe::EventLog &events, FollowerHooks hooks)
      : Machine(settings, self), Store(std::move(store)), Time(clock),
        Events(events), Hooks(std::move(hooks)) {}

  /// Runs the state machine under the lock and performs its actions without
  /// it, because a store that calls back synchronously would deadlock.
  template <typename Decide> void step(Decide decide) {
    FollowerActions actions;
    {
      const std::lock_guard lock(Guard);
      if (Stopped)
        return;
      actions = decide(Machine, Time.monotonic());
    }
    for (const FollowerAction &it : actions)
      std::visit([this](const auto &action) { perform(action); }, it);
  }

  template <typename Query> auto query(Query read) const {
    const std::lock_guard lock(Guard);
    return read(Machine, Time.monotonic());
  }

  void stop() {
    const std::lock_guard lock(Guard);
    Stopped = true;
  }

private:
  using StoredText = core::Result<std::optional<std::string>>;

  void perform(const ReadManifest &action) {
    const std::string key(ManifestKey);
    Store->watch(key, action.Index, action.Wait,
                 [self = weak_from_this()](
                     const core::Result<backing::WatchResult> &answer) {
                   if (const auto it = self.lock())
                     it->onManifest(answer);
                 });
  }

  void onManifest(const core::Result<backing::WatchResult> &answer) {
    StoredText text = std::optional<std::string>();
    std::uint64_t index = 0;
    if (answer.ok()) {
      index = answer->Index;
      for (const backing::StoreEntry &it : answer->Entries) {
        if (it.Key == ManifestKey)
          text = std::optional(it.Value);
      }
    } else {
      text = answer.error();
    }
    step([&](FollowerStateMachine &machine, core::Millis now) {
      return machine.onManifest(text, index, now);
    });
  }

  void perform(const ReadContent &action) {
    Store->get(
        contentKey(action.Hash),
        [self = weak_from_this(), hash = action.Hash](
            const core::Result<std::optional<backing::StoreEntry>> &answer) {
          if (const auto it = self.lock())
            it->onContent(hash, answer);
        });
  }

  void
  onContent(const std::string &hash,
            const core::Result<std::optional<backing::StoreEntry>> &answer) {
    StoredText text = std::optional<std::string>();
    if (!answer.ok())
      text = answer.error();
    else if (answer->has_value())
      text = std::optional((*answer)->Value);
    step([&](FollowerStateMachine &machine, core::Millis now) {
      return machine.onContent(hash, text, now);
    });
  }

  void perform(const PullBundle &action) {
    if (!Hooks.FetchFromPeer)
      return;
    Hooks.FetchFromPeer(
        action.Peer, [self = weak_from_this(), peer = action.Peer](
                         const core::Result<std::string> &text) {
          const auto it = self.lock();
          if (!it)
            return;
          it->step([&](FollowerStateMachine &machine, core::Millis now) {
            return machine.onBundle(peer, text, now);
          });
        });
  }

  /// Two threads may call this with two generations in either order: delivers
  /// the newest, and never a lower generation after a higher one.
  void perform(const PutInForce & /*action*/) {
    const std::lock_guard delivering(Delivery);
    const auto bundle = query([](const FollowerStateMachine &machine,
                                 core::Millis) { return machine.inForce(); });
    if (bundle->Number <= Delivered)
      return;
    Delivered = bundle->Number;
    Events.setGeneration(bundle->Number);
    Events.report(
        observe::EventNumber::ConfigurationInForce,
        {.Request = {},
         .Version = {},
         .Cause = "",
         .Detail = std::to_string(bundle->Services.size()) + " services"});
    if (Hooks.OnInForce)
      Hooks.OnInForce(bundle);
  }

  void perform(const ReportStale &action) {
    report(observe::EventNumber::ConfigurationStale,
           "not confirmed for " + std::to_string(action.Age.count()) + " ms");
  }
  void perform(const ReportConfirmed & /*action*/) {
    report(observe::EventNumber::ConfigurationConfirmed, "");
  }
  void perform(const ReportUnreadable &action) {
    report(observe::EventNumber::ConfigurationRefused, action.Detail);
  }

  void report(observe::EventNumber number, std::string detail) {
    Events.report(number, {.Request = {},
                           .Version = {},
                           .Cause = "",
                           .Detail = std::move(detail)});
  }

  mutable std::mutex Guard; ///< protects Machine and Stopped
  FollowerStateMachine Machine;
  bool Stopped = false;
  std::mutex Delivery; ///< protects Delivered; held while OnInForce runs
  core::Generation Delivered;
  const std::shared_ptr<backing::Store> Store;
  const core::Clock &Time;
  observe::EventLog &Events;
  const FollowerHooks Hooks;
};

Follower::Follower(FollowerSettings settings, const core::InstanceId &self,
                   std::shared_ptr<backing::Store> store,
                   const core::Clock &clock, observe::EventLog &events,
                   FollowerHooks hooks)
    : Internals(std::make_shared<Impl>(settings, self, std::move(store), clock,
                                       events, std::move(hooks))) {}

Follower::~Follower() { stop(); }

void Follower::tick() {
  Internals->step([](FollowerStateMachine &machine, core::Millis now) {
    return machine.tick(now);
  });
}

void Follower::stop() { Internals->stop(); }

void Follower::onPeerReport(const core::InstanceId &peer,
                            const PeerConfiguration &report) {
  Internals->step([&](FollowerStateMachine &machine, core::Millis now) {
    return machine.onPeerReport(peer, report, now);
  });
}

void Follower::setFleetSize(std::size_t size) {
  Internals->step([&](FollowerStateMachine &machine, core::Millis) {
    machine.setFleetSize(size);
    return FollowerActions();
  });
}

std::shared_ptr<const Bundle> Follower::inForce() const {
  return Internals->query(
      [](const FollowerStateMachine &x, core::Millis) { return x.inForce(); });
}

core::Generation Follower::generation() const {
  return Internals->query([](const FollowerStateMachine &x, core::Millis) {
    return x.generation();
  });
}

core::Millis Follower::age() const {
  return Internals->query([](const FollowerStateMachine &x, core::Millis now) {
    return x.age(now);
  });
}

bool Follower::stale() const {
  return Internals->query([](const FollowerStateMachine &x, core::Millis now) {
    return x.stale(now);
  });
}

std::string Follower::encodedBundle() const {
  const auto bundle = inForce();
  return bundle ? encodeBundle(*bundle) : std::string();
}

} // namespace cowslipridge::config
