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

std::vector<Shape> listShapes() {
  std::vector<Shape> shapes;
  for (const double load : {1.5, 2.0, 4.0}) {
    Shape shape;
    shape.Name = "load " + std::to_string(load).substr(0, 3);
    shape.Load = load;
    shapes.push_back(shape);
  }
  Shape unknown = shapes[1];
  unknown.Name = "load 2.0, work unknown";
  unknown.DraftShare = 0;
  unknown.WorkUnknown = true;
  shapes.push_back(unknown);
  Shape flood;
  flood.Name = "flood, load 2";
  flood.Load = 2;
  flood.DraftShare = 0;
  flood.FloodShare = 0.7;
  shapes.push_back(flood);
  flood.Name = "flood, load 4";
  flood.Load = 4;
  shapes.push_back(flood);
  Shape drafts;
  drafts.Name = "drafts fill gaps";
  drafts.Load = 0.95;
  drafts.DraftShare = 0.5;
  shapes.push_back(drafts);
  Shape brownOut;
  brownOut.Name = "brown-out";
  brownOut.Load = 0.8;
  brownOut.DraftShare = 0;
  brownOut.BrownOutAt = core::Millis(40'000);
  brownOut.Length = core::Millis(160'000);
  shapes.push_back(brownOut);
  return shapes;
}

void runShape(const Shape &shape, Report &report) {
  for (const Policy policy : {Policy::Fifo, Policy::FixedLimit,
                              Policy::FixedAtCapacity, Policy::Admission}) {
    const auto results =
        runSeeds(FLAGS_seeds, FLAGS_threads, [&](std::uint64_t seed) {
          return Run(shape, policy, seed).run();
        });
    const Report::RowKey row{shape.Name, nameOf(policy)};
    for (const Figures &figures : results) {
      report.add(row, "useful / capacity", figures.UsefulShare);
      report.add(row, "others served", figures.OthersServed);
      report.add(row, "flooder's share", figures.FloodShare);
      report.add(row, "drafts in time", figures.DraftsInTime);
      report.add(row, "refusal p95 ms", figures.RefusalMillis);
      report.add(row, "draft refusal p95 ms", figures.DraftRefusalMillis);
      report.add(row, "returns taken", figures.ReturnsTaken);
      report.add(row, "recovery s", figures.RecoverySeconds);
      report.add(row, "in flight", figures.InFlight);
      report.add(row, "wasted / capacity", figures.WastedShare);
    }
  }
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Report report("overload");
  for (const Shape &shape : listShapes())
    runShape(shape, report);
  report.print();
  report.write(FLAGS_out, "overload", "useful / capacity");
}
