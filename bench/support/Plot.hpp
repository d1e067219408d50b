#pragma once

#include "support/Statistics.hpp"

#include <string>
#include <vector>

namespace cowslipridge::bench {

/// One bar: its length shows the median, its whisker spans P10 to P90.
struct PlotBar {
  std::string Group;
  std::string Label;
  Spread Value;
};

/// Writes a horizontal bar plot as SVG.
void writeBarPlot(const std::string &path, const std::string &title,
                  const std::vector<PlotBar> &bars);

} // namespace cowslipridge::bench
