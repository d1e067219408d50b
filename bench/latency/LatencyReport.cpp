#include "LatencyReport.hpp"

#include <algorithm>
#include <sstream>

namespace cowslipridge::bench {

double quantile(const std::vector<double> &sorted, double fraction) {
  if (sorted.empty())
    return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * fraction)];
}

ArmReport makeReport(const std::string &arm, const std::vector<Sample> &samples,
                     bool firstByte) {
  std::vector<double> times;
  ArmReport report;
  report.Arm = arm;
  report.Requests = samples.size();
  for (const Sample &it : samples) {
    if (it.Failed)
      ++report.Failures;
    else
      times.push_back(firstByte ? it.FirstByteMs : it.TotalMs);
  }
  std::sort(times.begin(), times.end());
  report.P50 = quantile(times, 0.50);
  report.P90 = quantile(times, 0.90);
  report.P99 = quantile(times, 0.99);
  report.Max = quantile(times, 1.0);
  return report;
}

std::string csvHeader() {
  return "arm,requests,failures,p50_ms,p90_ms,p99_ms,max_ms";
}

std::string toCsv(const ArmReport &report) {
  std::ostringstream line;
  line.precision(4);
  line << report.Arm << "," << report.Requests << "," << report.Failures << ","
       << report.P50 << "," << report.P90 << "," << report.P99 << ","
       << report.Max;
  return line.str();
}

} // namespace cowslipridge::bench
