#include "pool_loss/Run.hpp"
#include "support/Report.hpp"
#include "support/Seeds.hpp"

#include <gflags/gflags.h>

DEFINE_uint64(seeds, 20, "number of seeds");
DEFINE_uint32(threads, 4, "threads that run seeds");
DEFINE_string(out, ".", "folder for the CSV file and the plot");

using namespace cowslipridge;
using namespace cowslipridge::bench;
using namespace cowslipridge::bench::pool_loss;

namespace {

struct NamedFault {
  const char *Name;
  Fault Kind;
};

constexpr std::array<NamedFault, 3> Faults{
    {{"domain lost", Fault::DomainLost},
     {"runner frozen", Fault::RunnerFrozen},
     {"runner ten times slower", Fault::RunnerSlow}}};

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Report report("loss of capacity");
  const std::vector<Policy> policies{{"round-robin", false, false},
                                     {"chooser", true, false},
                                     {"chooser, hedged", true, true}};
  for (const NamedFault &fault : Faults) {
    for (const Policy &policy : policies) {
      const auto results =
          runSeeds(FLAGS_seeds, FLAGS_threads, [&](std::uint64_t seed) {
            return Run(fault.Kind, policy, seed).run();
          });
      const Report::RowKey row{fault.Name, policy.Name};
      for (const Metrics &metrics : results) {
        report.add(row, "last steady use s", metrics.SecondsToLastCall);
        report.add(row, "calls to failed", metrics.CallsToFailed);
        report.add(row, "p99 first token ms", metrics.P99);
        report.add(row, "unanswered", metrics.Unanswered);
        report.add(row, "hedged", metrics.Hedged);
      }
    }
  }
  report.print();
  report.write(FLAGS_out, "pool-loss", "p99 first token ms");
}
