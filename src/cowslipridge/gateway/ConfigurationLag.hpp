#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <optional>

namespace cowslipridge::gateway {

/// Detects that this gateway lacks a configuration that its peers have.
///
/// Usually the store delivers it within the time that a change takes to arrive.
/// It does not while this gateway is cut off from the store, or when the store
/// was restored from a copy that is older than the configuration.
class ConfigurationLag {
public:
  /// Time that a change takes to arrive from the store at every gateway.
  static constexpr core::Millis PropagationTime{1'000};

  /// Handles the generation that a peer reports.
  void onReport(core::Generation peer, core::Generation own, core::Millis now);
  /// Returns whether a peer should be asked for the configuration.
  [[nodiscard]] bool isOverdue(core::Generation own, core::Millis now) const;

private:
  struct Missing {
    core::Generation Configuration;
    core::Millis Since;
  };
  std::optional<Missing> Awaited;
};

} // namespace cowslipridge::gateway
