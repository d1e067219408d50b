#pragma once

#include "cowslipridge/core/Random.hpp"

#include <vector>

namespace cowslipridge::bench {

/// The value below which the share `q` of `values` lies; 0 when empty.
double quantile(std::vector<double> values, double q);

/// How a figure differs between seeds.
struct Spread {
  double P10 = 0;
  double Median = 0;
  double P90 = 0;
};

Spread spreadOf(const std::vector<double> &values);

/// A time between arrivals of a Poisson process, in milliseconds.
double drawInterarrivalMillis(core::Random &random, double perSecond);

/// A time with a right tail, in milliseconds: log-normal with this median.
double drawLogNormalMillis(core::Random &random, double median, double sigma);

/// Draws indices with probability proportional to 1 / (index + 1)^exponent.
class ZipfDraw {
public:
  ZipfDraw(std::size_t size, double exponent);
  std::size_t operator()(core::Random &random) const;

private:
  std::vector<double> Cumulative;
};

} // namespace cowslipridge::bench
