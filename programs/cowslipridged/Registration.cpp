#include "Registration.hpp"

#include <chrono>
#include <future>

namespace cowslipridge::daemon {

namespace {

/// Interval at which the record is rewritten, in case the list has lost it.
constexpr core::Millis RepublishInterval{15'000};
/// Delay before a failed write is retried.
constexpr core::Millis RetryInterval{500};
/// Timeout for removing the record at shutdown. The list expires the record if
/// the removal fails.
constexpr std::chrono::seconds WithdrawTimeout{2};

} // namespace

Registration::Registration(ProcessContext &process)
    : Process(process), Stopped(std::make_shared<std::atomic<bool>>(false)) {}

bool Registration::start() {
  publish();
  return true;
}

void Registration::drain() {
  Process.Instances->publish(record(), [](std::error_code) {});
}

void Registration::stop() {
  *Stopped = true;
  auto done = std::make_shared<std::promise<void>>();
  Process.Instances->withdraw(Process.Settings.Instance,
                              [done](std::error_code) { done->set_value(); });
  done->get_future().wait_for(WithdrawTimeout);
}

void Registration::publish() {
  if (*Stopped)
    return;
  Process.Instances->publish(
      record(), [this, stopped = Stopped](std::error_code ec) {
        if (*stopped)
          return;
        Process.Loop.postAfter(ec ? RetryInterval : RepublishInterval,
                               [this, stopped] {
                                 if (!*stopped)
                                   publish();
                               });
      });
}

backing::InstanceRecord Registration::record() const {
  const config::DaemonSettings &settings = Process.Settings;
  backing::InstanceRecord record;
  record.Name = settings.Instance;
  record.Kind = settings.Role == config::DaemonRole::Entry
                    ? backing::Role::Entry
                    : backing::Role::Sidecar;
  record.Domain = settings.Domain;
  record.Start = Process.Start;
  record.Address = settings.Address;
  record.RpcPort = settings.RpcPort;
  record.HttpPort = settings.HttpPort;
  if (settings.Runner) {
    record.Service = settings.Runner->Service;
    record.Versions = settings.Runner->Versions;
  }
  record.Leaving = Process.Draining;
  return record;
}

} // namespace cowslipridge::daemon
