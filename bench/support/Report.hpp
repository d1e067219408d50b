#pragma once

#include "support/Statistics.hpp"

#include <map>
#include <string>
#include <vector>

namespace cowslipridge::bench {

/// Collects metric values of all seeds by scenario, policy and metric. Prints
/// their distributions as a table and writes them as CSV and as a bar plot.
class Report {
public:
  /// One row of the table: a policy within a scenario.
  struct RowKey {
    std::string Scenario;
    std::string Policy;
    friend auto operator<=>(const RowKey &, const RowKey &) = default;
  };

  explicit Report(std::string title) : Title(std::move(title)) {}

  void add(const RowKey &row, const std::string &metric, double value);
  void print() const;
  /// Writes all metrics to FOLDER/NAME.csv and plots the metric `plotted` in
  /// FOLDER/NAME.svg.
  void write(const std::string &folder, const std::string &name,
             const std::string &plotted) const;

private:
  std::string Title;
  std::vector<RowKey> Rows; ///< in the order of their first value
  std::vector<std::string> Metrics;
  std::map<RowKey, std::map<std::string, std::vector<double>>> Values;
};

} // namespace cowslipridge::bench
