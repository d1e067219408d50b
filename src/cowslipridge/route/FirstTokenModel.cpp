#include "cowslipridge/route/FirstTokenModel.hpp"

#include <algorithm>

namespace cowslipridge::route {

FirstTokenModel::Fit::Vector
FirstTokenModel::toVector(const FirstTokenFeatures &features) {
  return {1,
          features.UncachedTokens / 1000,
          features.PendingTokens / 1000,
          features.ReportedRequests,
          features.SentSinceReport,
          features.ExcessRequests};
}

double FirstTokenModel::predict(const FirstTokenFeatures &features) const {
  return std::max(MinPredictionMillis, Model.predict(toVector(features)));
}

void FirstTokenModel::observe(const FirstTokenFeatures &features,
                              double elapsedMillis) {
  Model.observe(toVector(features), elapsedMillis);
}

} // namespace cowslipridge::route
