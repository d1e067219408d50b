#pragma once

#include <any>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// The micro-kernel: services find each other by name and share a lifecycle.
namespace cowslipridge::kernel {

/// One long-lived part of a daemon. Phases run in order of registration and
/// stop in reverse order.
class Service {
public:
  virtual ~Service() = default;
  /// Begins work. Returns false, after logging why, to abort the start.
  virtual bool start() { return true; }
  /// Stops taking new work; must return at once.
  virtual void drain() {}
  /// True once all work taken before drain() has ended.
  [[nodiscard]] virtual bool idle() const { return true; }
  /// Releases everything; called once, after drain().
  virtual void stop() {}
};

/// Registry of services by name.
class Kernel {
public:
  /// Adds a service under `name`; the name must be new.
  template <typename T>
  void provide(const std::string &name, std::shared_ptr<T> it) {
    add(name, it, std::any(it));
  }

  /// The service under `name`, or null when there is none of that type.
  template <typename T>
  [[nodiscard]] std::shared_ptr<T> find(const std::string &name) const {
    const std::any it = lookup(name);
    const auto *found = std::any_cast<std::shared_ptr<T>>(&it);
    return found == nullptr ? nullptr : *found;
  }

  /// Starts all services in order; on failure stops those already started.
  bool start();
  void drain();
  [[nodiscard]] bool idle() const;
  void stop();

private:
  void add(const std::string &name, std::shared_ptr<Service> service,
           std::any typed);
  [[nodiscard]] std::any lookup(const std::string &name) const;

  struct Slot {
    std::string Name;
    std::shared_ptr<Service> Part;
    std::any Typed;
  };
  mutable std::mutex Guard;
  std::vector<Slot> Slots;
  std::size_t Started = 0;
};

} // namespace cowslipridge::kernel
