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

/// The changes that one run of the publisher puts in force.
struct Publication {
  std::string Id;        ///< unique to this run
  std::string Publisher; ///< the operator's name
  std::vector<ServiceDeclaration> Services;
  std::vector<core::ServiceId> Removed;
  /// The generation that the operator's files are based on; a service that has
  /// changed since is a conflict. When empty, the generation that is in force
  /// at the start of the run.
  std::optional<core::Generation> Base;
};

/// The change is in force under the generation `Number`.
struct Published {
  core::Generation Number;
};
/// The publication contained nothing that was not in force already.
struct AlreadyInForce {
  core::Generation Number;
};
/// Another publication changed the same service first.
struct PublishConflict {
  core::ServiceId Service;
  core::Generation ChangedAt;
  std::string Publisher;
  /// True when the store's reply to a swap was lost, so that this change may
  /// have been in force before the other replaced it. Otherwise nothing was
  /// changed.
  bool MayHaveBeenInForce = false;
};
/// The services contradict each other or the base; nothing was changed.
struct PublishRefused {
  core::Findings Reasons;
};
/// The store was unavailable. `MayBeInForce` is true when it is unknown whether
/// the change took effect; publishing again resolves it.
struct PublishFailed {
  std::error_code Reason;
  bool MayBeInForce = false;
};

using PublishResult = std::variant<Published, AlreadyInForce, PublishConflict,
                                   PublishRefused, PublishFailed>;

/// Puts declarations in force: immutable contents first, then the manifest by
/// one compare-and-swap. If it is stopped at any point, either the old or the
/// new configuration is in force, never a mix.
class Publisher {
public:
  explicit Publisher(backing::Store &store);

  /// Blocks until the outcome is known or the store has failed repeatedly.
  PublishResult publish(const Publication &publication);

private:
  backing::Store &Store;
};

} // namespace cowslipridge::config
