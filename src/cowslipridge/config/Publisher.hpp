#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/config/Manifest.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace cowslipridge::config {

/// What one run of the publisher is to put in force.
struct Publication {
  std::string Id;        ///< unique to this run
  std::string Publisher; ///< the operator's name
  std::vector<ServiceDeclaration> Services;
  std::vector<core::ServiceId> Removed;
  /// The generation that the operator's files were based on. A service that
  /// changed after it is a conflict. Nothing: what is in force at the start.
  std::optional<core::Generation> Base;
};

/// The change is in force under this generation.
struct Published {
  core::Generation Number;
};
/// What was to be published was in force already.
struct AlreadyInForce {
  core::Generation Number;
};
/// Another change of the same service came first.
struct PublishConflict {
  core::ServiceId Service;
  core::Generation ChangedAt;
  std::string Publisher;
  /// This change may have been in force before the other replaced it: the
  /// store's reply was lost. Otherwise nothing was changed.
  bool MayHaveBeenInForce = false;
};
/// The services do not fit together; nothing was changed.
struct PublishRefused {
  core::Findings Reasons;
};
/// The store did not answer. `MayBeInForce`: whether the change took effect is
/// not known; publishing again settles it.
struct PublishFailed {
  std::error_code Reason;
  bool MayBeInForce = false;
};

using PublishResult = std::variant<Published, AlreadyInForce, PublishConflict,
                                   PublishRefused, PublishFailed>;

/// Puts declarations in force: immutable contents first, then the manifest by
/// one compare-and-swap. Wherever it is stopped, the old or the new
/// configuration is in force, never a mix.
class Publisher {
public:
  explicit Publisher(backing::Store &store);

  /// Blocks until the outcome is known or the store has failed repeatedly.
  PublishResult publish(const Publication &publication);

private:
  backing::Store &Store;
};

} // namespace cowslipridge::config
