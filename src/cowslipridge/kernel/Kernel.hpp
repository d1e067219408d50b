#pragma once

#include <any>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// Service registry and life cycle of a daemon: services look each other up by
/// name, and start, drain and stop in a fixed order.
namespace cowslipridge::kernel {

/// One long-lived component of a daemon. Services start and drain in order of
/// registration and stop in reverse order.
class Service {
public:
  virtual ~Service() = default;
  /// Starts the service. Returns false, after logging the reason, to abort the
  /// start of the daemon.
  virtual bool start() { return true; }
  /// Stops accepting new work; must not block.
  virtual void drain() {}
  /// Returns true once all work accepted before drain() has finished.
  [[nodiscard]] virtual bool idle() const { return true; }
  /// Releases all resources; called once, after drain().
  virtual void stop() {}
};

/// Registry of services by name, which runs their life cycle.
class Kernel {
public:
  /// Registers a service under `name`; throws std::logic_error when the name is
  /// already registered.
  template <typename T>
  void provide(const std::string &name, std::shared_ptr<T> it) {
    add(name, it, std::any(it));
  }

  /// Returns the service under `name`, or null when there is none of type T.
  template <typename T>
  [[nodiscard]] std::shared_ptr<T> find(const std::string &name) const {
    const std::any it = lookup(name);
    const auto *found = std::any_cast<std::shared_ptr<T>>(&it);
    return found == nullptr ? nullptr : *found;
  }

  /// Starts all services in order; on failure stops those already started and
  /// returns false.
  bool start();
  /// Drains all started services.
  void drain();
  /// Returns true once all started services are idle.
  [[nodiscard]] bool idle() const;
  /// Stops all started services in reverse order.
  void stop();

private:
  void add(const std::string &name, std::shared_ptr<Service> service,
           std::any typed);
  [[nodiscard]] std::any lookup(const std::string &name) const;

  struct Slot {
    std::string Name;
    std::shared_ptr<Service> Component;
    std::any Typed; ///< the same component as std::shared_ptr<T>
  };
  mutable std::mutex Guard;
  std::vector<Slot> Slots;
  std::size_t Started = 0;
};

} // namespace cowslipridge::kernel
