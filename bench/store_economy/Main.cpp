// Measures the ledgers' calls to the key-value service and the delay of claims
// and bills, by fleet size, commit interval and segment size.
#include "store_economy/Fleet.hpp"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_string(csv, "", "CSV file with one line per run");
DEFINE_int32(seed, 1, "seed of all runs");
DEFINE_int32(max_ledgers, 600, "largest number of ledgers in a fleet");

namespace cowslipridge::store_economy {
namespace {

double quantile(std::vector<double> values, double fraction) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

struct Row {
  FleetPlan Plan;
  FleetResult Result;
};

void print(std::ostream &out, const Row &row, const char *separator) {
  const double seconds = static_cast<double>(row.Plan.Length.count()) / 1'000;
  const auto perSecond = [&](std::uint64_t count) {
    return static_cast<double>(count) / seconds;
  };
  const double kilobytes = perSecond(row.Result.Counts.Bytes) / 1'024 /
                           static_cast<double>(row.Plan.Ledgers);
  out << std::fixed << std::setprecision(1) << row.Plan.Ledgers << separator
      << row.Plan.MinInterval.count() << separator
      << row.Plan.MaxInterval.count() << separator << row.Plan.RollBytes
      << separator << row.Plan.ClaimsPerSecond << separator
      << perSecond(row.Result.Counts.Writes) << separator
      << perSecond(row.Result.Counts.Reads) << separator << kilobytes
      << separator << quantile(row.Result.ClaimDelaysMs, 0.5) << separator
      << quantile(row.Result.ClaimDelaysMs, 0.99) << separator
      << row.Result.Refused << separator
      << quantile(row.Result.BillDelaysMs, 0.5) << separator
      << quantile(row.Result.BillDelaysMs, 0.99) << separator
      << row.Result.LedgersWithoutShards;
}

std::vector<FleetPlan> allPlans() {
  std::vector<FleetPlan> plans;
  FleetPlan plan;
  plan.Seed = static_cast<std::uint64_t>(FLAGS_seed);
  for (const unsigned ledgers : {10U, 50U, 200U, 600U}) {
    plan.Ledgers = ledgers;
    for (const int interval : {250, 1'000, 4'000}) {
      plan.MaxInterval = core::Millis(interval);
      plans.push_back(plan);
    }
  }
  plan.MaxInterval = core::Millis(1'000);
  for (const unsigned ledgers : {50U}) {
    plan.Ledgers = ledgers;
    for (const std::size_t bytes : {16'384U, 65'536U}) {
      plan.RollBytes = bytes;
      plans.push_back(plan);
    }
  }
  plan.RollBytes = FleetPlan().RollBytes;
  plan.ClaimsPerSecond = 0.6;
  for (const unsigned ledgers : {200U, 600U}) {
    plan.Ledgers = ledgers;
    plans.push_back(plan);
  }
  std::erase_if(plans, [](const FleetPlan &x) {
    return x.Ledgers > static_cast<unsigned>(FLAGS_max_ledgers);
  });
  return plans;
}

int run() {
  std::ofstream csv;
  if (!FLAGS_csv.empty())
    csv.open(FLAGS_csv);
  csv << "ledgers,min_interval_ms,max_interval_ms,roll_bytes,claims_per_s_each,"
         "writes_per_s,"
         "reads_per_s,kib_per_s_each,claim_p50_ms,claim_p99_ms,refused,"
         "bill_p50_ms,bill_p99_ms,without_shards\n";
  std::cout << "| ledgers | min ms | max ms | segment bytes | claims/s each | "
               "writes/s | "
               "reads/s | KiB/s each | claim p50 ms | claim p99 ms | refused | "
               "bill p50 ms | bill p99 ms | without shards |\n"
            << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
               "--- | --- | --- | --- |"
            << std::endl;
  for (const FleetPlan &plan : allPlans()) {
    const Row row{plan, runFleet(plan)};
    std::cout << "| ";
    print(std::cout, row, " | ");
    std::cout << " |" << std::endl;
    print(csv, row, ",");
    csv << '\n';
  }
  return 0;
}

} // namespace
} // namespace cowslipridge::store_economy

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return cowslipridge::store_economy::run();
}
