#include "support/Statistics.hpp"

#include <algorithm>
#include <cmath>

namespace cowslipridge::bench {

double quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<std::ptrdiff_t>(
      std::lround(q * static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

Spread spreadOf(const std::vector<double> &values) {
  return {quantile(values, 0.1), quantile(values, 0.5), quantile(values, 0.9)};
}

double drawInterarrivalMillis(core::Random &random, double perSecond) {
  return std::exponential_distribution<double>(perSecond / 1000)(random);
}

double drawLogNormalMillis(core::Random &random, double median, double sigma) {
  return std::lognormal_distribution<double>(std::log(median), sigma)(random);
}

ZipfDraw::ZipfDraw(std::size_t size, double exponent) {
  double sum = 0;
  for (std::size_t n = 0; n < size; ++n) {
    sum += std::pow(static_cast<double>(n + 1), -exponent);
    Cumulative.push_back(sum);
  }
}

std::size_t ZipfDraw::operator()(core::Random &random) const {
  const double drawn = core::uniform(random) * Cumulative.back();
  const auto it = std::upper_bound(Cumulative.begin(), Cumulative.end(), drawn);
  return static_cast<std::size_t>(it - Cumulative.begin());
}

} // namespace cowslipridge::bench
