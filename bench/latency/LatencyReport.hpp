#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// Latency of requests through an entry against requests straight to a runner,
/// interleaved in one run.
namespace cowslipridge::bench {

/// One request's times in milliseconds.
struct Sample {
  double FirstByteMs = 0;
  double TotalMs = 0;
  bool Failed = false;
};

/// Order statistics of one arm.
struct ArmReport {
  std::string Arm;
  std::size_t Requests = 0;
  std::size_t Failures = 0;
  double P50 = 0;
  double P90 = 0;
  double P99 = 0;
  double Max = 0;
};

/// Value at `fraction` of the sorted times; 0 when there are none.
double quantile(const std::vector<double> &sorted, double fraction);

/// Statistics of the first byte or of the whole answer.
ArmReport makeReport(const std::string &arm, const std::vector<Sample> &samples,
                     bool firstByte);

/// The header and the line of a report.
std::string csvHeader();
std::string toCsv(const ArmReport &report);

} // namespace cowslipridge::bench
