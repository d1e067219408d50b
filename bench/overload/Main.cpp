#include "overload/Run.hpp"
#include "support/Report.hpp"
#include "support/Seeds.hpp"

#include <gflags/gflags.h>

DEFINE_uint64(seeds, 20, "number of seeds");
DEFINE_uint32(threads, 4, "threads that run seeds");
DEFINE_string(out, ".", "folder for the CSV file and the plot");

using namespace cowslipridge;
using namespace cowslipridge::bench;
using namespace cowslipridge::bench::overload;

namespace {

std::vector<Workload> listWorkloads() {
  std::vector<Workload> workloads;
  for (const double load : {1.5, 2.0, 4.0}) {
    Workload workload;
    workload.Name = "load " + std::to_string(load).substr(0, 3);
    workload.Load = load;
    workloads.push_back(workload);
  }
  Workload unknown = workloads[1];
  unknown.Name = "load 2.0, work unknown";
  unknown.DraftShare = 0;
  unknown.WorkUnknown = true;
  workloads.push_back(unknown);
  Workload flood;
  flood.Name = "flood, load 2";
  flood.Load = 2;
  flood.DraftShare = 0;
  flood.FloodShare = 0.7;
  workloads.push_back(flood);
  flood.Name = "flood, load 4";
  flood.Load = 4;
  workloads.push_back(flood);
  Workload drafts;
  drafts.Name = "drafts fill gaps";
  drafts.Load = 0.95;
  drafts.DraftShare = 0.5;
  workloads.push_back(drafts);
  Workload brownOut;
  brownOut.Name = "brown-out";
  brownOut.Load = 0.8;
  brownOut.DraftShare = 0;
  brownOut.BrownOutAt = core::Millis(40'000);
  brownOut.Length = core::Millis(160'000);
  workloads.push_back(brownOut);
  return workloads;
}

void runWorkload(const Workload &workload, Report &report) {
  for (const Policy policy : {Policy::Fifo, Policy::FixedLimit,
                              Policy::FixedAtCapacity, Policy::Admission}) {
    const auto results =
        runSeeds(FLAGS_seeds, FLAGS_threads, [&](std::uint64_t seed) {
          return Run(workload, policy, seed).run();
        });
    const Report::RowKey row{workload.Name, nameOf(policy)};
    for (const Metrics &metrics : results) {
      report.add(row, "useful / capacity", metrics.UsefulShare);
      report.add(row, "others served", metrics.OthersServed);
      report.add(row, "flooder's share", metrics.FloodShare);
      report.add(row, "drafts in time", metrics.DraftsInTime);
      report.add(row, "refusal p95 ms", metrics.RefusalMillis);
      report.add(row, "draft refusal p95 ms", metrics.DraftRefusalMillis);
      report.add(row, "returns taken", metrics.DelayedRetriesAccepted);
      report.add(row, "recovery s", metrics.RecoverySeconds);
      report.add(row, "in flight", metrics.InFlight);
      report.add(row, "wasted / capacity", metrics.WastedShare);
    }
  }
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Report report("overload");
  for (const Workload &workload : listWorkloads())
    runWorkload(workload, report);
  report.print();
  report.write(FLAGS_out, "overload", "useful / capacity");
}
