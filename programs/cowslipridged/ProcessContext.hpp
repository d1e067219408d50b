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

/// State shared by all services of one process. Outlives them.
struct ProcessContext {
  explicit ProcessContext(config::DaemonSettings settings);

  const config::DaemonSettings Settings;
  core::SystemClock Time;
  const core::Incarnation Start;
  observe::Metrics Metrics;
  observe::EventLog Events;
  std::shared_ptr<backing::Store> Store;
  std::shared_ptr<backing::InstanceList> Instances;
  rpc::EventLoop Loop;
  std::atomic<bool> Draining = false;
};

/// Names under which services are registered with the kernel.
namespace services {
constexpr const char *Role = "role";
constexpr const char *Configuration = "configuration";
constexpr const char *Registration = "registration";
constexpr const char *Members = "members";
constexpr const char *Http = "http";
} // namespace services

/// Returns an incarnation number for this start of the daemon, different from
/// that of any earlier start.
core::Incarnation newIncarnation(const core::Clock &time);

/// Decodes a key written in hex.
std::string fromHex(const std::string &hex);

} // namespace cowslipridge::daemon
