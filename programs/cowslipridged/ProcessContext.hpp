#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/config/Settings.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/kernel/Kernel.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/rpc/EventLoop.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace cowslipridge::daemon {

/// What all services of one process share. Outlives them.
struct ProcessContext {
  explicit ProcessContext(config::DaemonSettings settings);

  const config::DaemonSettings Settings;
  core::SystemClock Time;
  const core::Incarnation Start;
  observe::Metrics Counts;
  observe::EventLog Events;
  std::shared_ptr<backing::Store> Keys;
  std::shared_ptr<backing::InstanceList> Instances;
  rpc::EventLoop Loop;
  std::atomic<bool> Leaving = false;
};

/// Names under which the kernel's services find each other.
namespace services {
constexpr const char *Role = "role";
constexpr const char *Configuration = "configuration";
constexpr const char *Registration = "registration";
constexpr const char *Members = "members";
constexpr const char *Http = "http";
} // namespace services

/// A number for this start of the daemon that no earlier start had.
core::Incarnation newIncarnation(const core::Clock &time);

/// Bytes of a key written in hex.
std::string fromHex(const std::string &hex);

} // namespace cowslipridge::daemon
