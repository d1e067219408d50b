#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Result.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace cowslipridge::backing {

/// The weights of one version, as the store describes them.
struct WeightSet {
  core::VersionId Version;
  std::string Manifest;

  friend auto operator<=>(const WeightSet &, const WeightSet &) = default;
};

/// The store is over its rate; ask again after `Delay`.
struct WeightsBusy {
  core::Millis Delay;

  friend auto operator<=>(const WeightsBusy &, const WeightsBusy &) = default;
};

using WeightAnswer = std::variant<WeightSet, WeightsBusy>;

/// Port to the platform's store of model weights, which limits its rate.
class WeightStore {
public:
  virtual ~WeightStore() = default;
  /// Errors: UnknownVersion, or StoreUnavailable when it does not answer.
  virtual void fetch(const core::VersionId &version,
                     std::function<void(core::Result<WeightAnswer>)> done) = 0;
};

/// The weight store at `base`.
std::shared_ptr<WeightStore> makeWeightStoreClient(const std::string &base,
                                                   core::Millis timeout);

} // namespace cowslipridge::backing
