#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace cowslipridge::backing {

/// The store's description of the weights of one version.
struct WeightSet {
  core::VersionId Version;
  std::string Manifest;

  friend auto operator<=>(const WeightSet &, const WeightSet &) = default;
};

/// The store's rate limit is exceeded; retry after `Delay`.
struct WeightsBusy {
  core::Millis Delay;

  friend auto operator<=>(const WeightsBusy &, const WeightsBusy &) = default;
};

using WeightAnswer = std::variant<WeightSet, WeightsBusy>;

/// Interface to the platform's store of model weights, which is rate limited.
class WeightStore {
public:
  virtual ~WeightStore() = default;
  /// Errors: UnknownVersion, or StoreUnavailable when the store does not
  /// respond or returns an unexpected status.
  virtual void fetch(const core::VersionId &version,
                     std::function<void(core::Result<WeightAnswer>)> done) = 0;
};

/// Returns a client of the weight store at `base`.
std::shared_ptr<WeightStore> makeWeightStoreClient(const std::string &base,
                                                   core::Millis timeout);

} // namespace cowslipridge::backing
