#pragma once

#include "cowslipridge/core/Random.hpp"

#include <vector>

namespace cowslipridge::bench {

/// Returns the quantile `q` (0 to 1) of `values`; 0 if there are none.
double quantile(std::vector<double> values, double q);

/// Distribution of a metric over the seeds.
struct Spread {
  double P10 = 0;
  double Median = 0;
  double P90 = 0;
};

Spread spreadOf(const std::vector<double> &values);

/// Draws the time between two arrivals of a Poisson process, in milliseconds.
double drawInterarrivalMillis(core::Random &random, double perSecond);

/// Draws a time from the log-normal distribution with this median, in
/// milliseconds.
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
