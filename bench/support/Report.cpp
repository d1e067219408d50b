#include "support/Report.hpp"

#include "support/Plot.hpp"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace cowslipridge::bench {

namespace {

template <typename T> void addIfAbsent(std::vector<T> &items, const T &item) {
  if (std::find(items.begin(), items.end(), item) == items.end())
    items.push_back(item);
}

std::string quoted(const std::string &field) { return '"' + field + '"'; }

std::string formatSpread(const Spread &spread) {
  std::ostringstream out;
  out << std::setprecision(4) << spread.Median << " [" << spread.P10 << ", "
      << spread.P90 << "]";
  return out.str();
}

} // namespace

void Report::add(const RowKey &row, const std::string &metric, double value) {
  addIfAbsent(Rows, row);
  addIfAbsent(Metrics, metric);
  Values[row][metric].push_back(value);
}

void Report::print() const {
  std::cout << "# " << Title << ": median [p10, p90] over the seeds\n\n";
  std::cout << "| scenario | policy |";
  for (const std::string &metric : Metrics)
    std::cout << " " << metric << " |";
  std::cout << "\n| --- | --- |";
  for (std::size_t n = 0; n < Metrics.size(); ++n)
    std::cout << " --- |";
  std::cout << "\n";
  for (const RowKey &row : Rows) {
    std::cout << "| " << row.Scenario << " | " << row.Policy << " |";
    for (const std::string &metric : Metrics) {
      const auto it = Values.at(row).find(metric);
      std::cout << " "
                << (it == Values.at(row).end()
                        ? "-"
                        : formatSpread(spreadOf(it->second)))
                << " |";
    }
    std::cout << "\n";
  }
}

void Report::write(const std::string &folder, const std::string &name,
                   const std::string &plotted) const {
  std::ofstream csv(folder + "/" + name + ".csv");
  csv << "scenario,policy,figure,seeds,p10,median,p90\n";
  std::vector<PlotBar> bars;
  for (const RowKey &row : Rows) {
    for (const auto &[metric, values] : Values.at(row)) {
      const Spread spread = spreadOf(values);
      csv << quoted(row.Scenario) << ',' << quoted(row.Policy) << ','
          << quoted(metric) << ',' << values.size() << ',' << spread.P10 << ','
          << spread.Median << ',' << spread.P90 << '\n';
      if (metric == plotted)
        bars.push_back({row.Scenario, row.Policy, spread});
    }
  }
  writeBarPlot(folder + "/" + name + ".svg", Title + ": " + plotted, bars);
}

} // namespace cowslipridge::bench
