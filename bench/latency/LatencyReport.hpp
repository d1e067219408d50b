#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// Compares the latency of requests through an entry with that of requests sent
/// directly to a runner; both are interleaved in one run.
namespace cowslipridge::bench {

/// Latencies of one request, in milliseconds.
struct Sample {
  double FirstByteMs = 0;
  double TotalMs = 0;
  bool Failed = false;
};

/// Latency statistics of one arm of the experiment, in milliseconds.
struct ArmReport {
  std::string Arm;
  std::size_t Requests = 0;
  std::size_t Failures = 0;
  double P50 = 0;
  double P90 = 0;
  double P99 = 0;
  double Max = 0;
};

/// Returns the quantile `fraction` (0 to 1) of sorted values; 0 if there are
/// none.
double quantile(const std::vector<double> &sorted, double fraction);

/// Computes statistics of the time to the first byte or to the end of the
/// response.
ArmReport makeReport(const std::string &arm, const std::vector<Sample> &samples,
                     bool firstByte);

/// Returns the header of the columns that `toCsv` writes.
std::string csvHeader();
/// Returns a report as one CSV line.
std::string toCsv(const ArmReport &report);

} // namespace cowslipridge::bench
