#pragma once

#include <string>
#include <vector>

namespace cowslipridge::exposure {

/// One bar of the plot: the mean of several runs with the smallest and the
/// largest value.
struct Bar {
  std::string Scenario;
  std::string Method;
  double Mean = 0;
  double Low = 0;
  double High = 0;
};

/// Returns a chart of the bars on a logarithmic scale, as SVG text.
std::string drawBars(const std::string &title, const std::vector<Bar> &bars);

} // namespace cowslipridge::exposure
