#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/entry/BillHolder.hpp"
#include "cowslipridge/entry/ExplainLog.hpp"
#include "cowslipridge/entry/Fleet.hpp"
#include "cowslipridge/entry/OwnerCache.hpp"
#include "cowslipridge/entry/UngradedAnswerTable.hpp"
#include "cowslipridge/limits/RetryBudget.hpp"
#include "cowslipridge/observe/EventLog.hpp"
#include "cowslipridge/route/Planner.hpp"
#include "cowslipridge/route/RunnerChooser.hpp"
#include "cowslipridge/rpc/EventLoop.hpp"
#include "cowslipridge/session/TokenSealer.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cowslipridge::entry {

struct EntrySettings {
  core::InstanceId Instance;
  core::Incarnation Start;
  std::string FleetKey;
  std::string SessionKey;
  std::uint64_t Seed = 0;
  std::size_t MaxExplanations = 512;
};

/// The state that the parts of an entry share. It is used only on the loop's
/// thread, except where its type is thread-safe.
struct EntryContext {
  rpc::EventLoop &Loop;
  const core::Clock &Time;
  observe::EventLog &Events;
  const EntrySettings Settings;
  session::TokenSealer Sealer;
  std::shared_ptr<Fleet> Peers;
  route::Planner Plans;
  route::RunnerChooser Runners;
  limits::RetryBudget Retries;
  route::CutOffSet CutOffs;
  ExplainLog Explanations;
  UngradedAnswerTable UngradedAnswers;
  OwnerCache Owners;
  BillHolder Bills;
  /// The current share of requests that goes to each service's trial version.
  std::map<core::ServiceId, double> TrialShares;
  /// True while the configuration has not been confirmed recently. No session
  /// starts on a trial version then.
  bool ConfigurationIsStale = false;

  [[nodiscard]] core::Millis now() const { return Time.monotonic(); }
};

} // namespace cowslipridge::entry
