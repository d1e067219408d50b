#pragma once

#include "support/Statistics.hpp"

#include <map>
#include <string>
#include <vector>

namespace cowslipridge::bench {

/// Figures of all seeds, by scenario, policy and figure; printed as a table of
/// their spreads and written as CSV and as a bar plot.
class Report {
public:
  /// One row of the table: a policy within a scenario.
  struct RowKey {
    std::string Scenario;
    std::string Policy;
    friend auto operator<=>(const RowKey &, const RowKey &) = default;
  };

  explicit Report(std::string title) : Title(std::move(title)) {}

  void add(const RowKey &row, const std::string &figure, double value);
  void print() const;
  /// Writes FOLDER/NAME.csv, and FOLDER/NAME.svg with `plotted`.
  void write(const std::string &folder, const std::string &name,
             const std::string &plotted) const;

private:
  std::string Title;
  std::vector<RowKey> Rows; ///< in the order of their first figure
  std::vector<std::string> Figures;
  std::map<RowKey, std::map<std::string, std::vector<double>>> Values;
};

} // namespace cowslipridge::bench
