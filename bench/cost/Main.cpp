#include "cost/Policies.hpp"
#include "support/Report.hpp"
#include "support/Seeds.hpp"

#include <gflags/gflags.h>

DEFINE_uint64(seeds, 20, "number of seeds");
DEFINE_uint32(threads, 4, "threads that run seeds");
DEFINE_string(out, ".", "folder for the CSV file and the plot");

using namespace cowslipridge;
using namespace cowslipridge::bench;
using namespace cowslipridge::bench::cost;

namespace {

constexpr std::size_t Window = 500; ///< answers of one organisation
constexpr std::size_t WarmUp = 200; ///< first answers left out of the windows
/// Number of answers of one organisation; quality has recovered when their mean
/// reaches the target.
constexpr std::size_t RecoveryWindow = 100;

struct NamedPolicy {
  const char *Name;
  Policy Serve;
};

constexpr std::array<NamedPolicy, 7> Policies{
    {{"always-best", serveAlwaysBest},
     {"always-cheapest", serveAlwaysCheapest},
     {"random-mix", serveRandomMix},
     {"oracle", serveOracle},
     {"oracle-with-margin", serveOracleWithMargin},
     {"best-fixed-plans", serveBestFixedPlans},
     {"planner", servePlanner}}};

/// Compares the answers to one organisation with its quality target.
struct TargetComparison {
  std::size_t Windows = 0;
  std::size_t Below = 0;
  double Worst = 1; ///< lowest window mean minus the target
  double Recovery = 0;
};

struct Figures {
  double Cost = 0;
  double Quality = 0; ///< mean of grade minus target, over all requests
  double BelowShare = 0;
  double Worst = 1;
  double Recovery = 0; ///< of the slowest organisation, in its requests
};

struct GradeSequence {
  std::vector<double> Grades;
  std::size_t DropIndex = SIZE_MAX;
};

double meanOf(const std::vector<double> &grades, std::size_t begin,
              std::size_t size) {
  double sum = 0;
  for (std::size_t n = begin; n < begin + size; ++n)
    sum += grades[n];
  return sum / static_cast<double>(size);
}

double recoveryOf(const GradeSequence &sequence, double target) {
  if (sequence.DropIndex >= sequence.Grades.size())
    return 0;
  std::size_t n = sequence.DropIndex;
  // Searches for the first window after the drop whose mean reaches the target.
  // The first windows may lie in the time before the drop shows in the grades.
  while (n + RecoveryWindow < sequence.Grades.size() &&
         meanOf(sequence.Grades, n, RecoveryWindow) < target)
    ++n;
  return static_cast<double>(n - sequence.DropIndex);
}

TargetComparison compareWithTarget(const GradeSequence &sequence,
                                   double target) {
  TargetComparison comparison;
  double sum = 0;
  for (std::size_t n = WarmUp; n < sequence.Grades.size(); ++n) {
    sum += sequence.Grades[n];
    if (n < WarmUp + Window - 1)
      continue;
    const double mean = sum / Window;
    ++comparison.Windows;
    comparison.Below += mean < target;
    comparison.Worst = std::min(comparison.Worst, mean - target);
    sum -= sequence.Grades[n + 1 - Window];
  }
  comparison.Recovery = recoveryOf(sequence, target);
  return comparison;
}

Figures measure(const Shape &shape, const std::vector<Request> &requests,
                const std::vector<Served> &served) {
  const auto service = makeService();
  Figures figures;
  std::vector<GradeSequence> sequences(service.Organisations.size());
  for (std::size_t n = 0; n < requests.size(); ++n) {
    GradeSequence &sequence = sequences[requests[n].Organisation];
    if (n >= shape.DropAt && sequence.DropIndex == SIZE_MAX)
      sequence.DropIndex = sequence.Grades.size();
    sequence.Grades.push_back(served[n].Grade);
    const double target =
        service.Organisations[requests[n].Organisation].QualityTarget;
    figures.Cost += served[n].Cost / static_cast<double>(requests.size());
    figures.Quality +=
        (served[n].Grade - target) / static_cast<double>(requests.size());
  }
  std::size_t windows = 0;
  std::size_t below = 0;
  for (std::size_t n = 0; n < sequences.size(); ++n) {
    const TargetComparison comparison =
        compareWithTarget(sequences[n], service.Organisations[n].QualityTarget);
    windows += comparison.Windows;
    below += comparison.Below;
    figures.Worst = std::min(figures.Worst, comparison.Worst);
    figures.Recovery = std::max(figures.Recovery, comparison.Recovery);
  }
  figures.BelowShare =
      static_cast<double>(below) / static_cast<double>(windows);
  return figures;
}

std::vector<Figures> runSeed(const Shape &shape, std::uint64_t seed) {
  core::Random random(seed);
  const auto requests = drawRequests(shape, random);
  std::vector<Figures> all;
  all.reserve(Policies.size());
  for (const NamedPolicy &policy : Policies)
    all.push_back(
        measure(shape, requests, policy.Serve(shape, requests, seed)));
  return all;
}

void runShape(const Shape &shape, Report &report) {
  const auto results =
      runSeeds(FLAGS_seeds, FLAGS_threads,
               [&](std::uint64_t seed) { return runSeed(shape, seed); });
  for (const auto &figures : results) {
    const double oracle = figures[3].Cost;
    for (std::size_t n = 0; n < Policies.size(); ++n) {
      const Report::RowKey row{shape.Name, Policies[n].Name};
      report.add(row, "cost", figures[n].Cost);
      report.add(row, "cost / oracle", figures[n].Cost / oracle);
      report.add(row, "saved on best", 1 - figures[n].Cost / figures[0].Cost);
      report.add(row, "quality - target", figures[n].Quality);
      report.add(row, "windows below", figures[n].BelowShare);
      report.add(row, "worst window", figures[n].Worst);
      if (shape.DropAt != SIZE_MAX)
        report.add(row, "recovery requests", figures[n].Recovery);
    }
  }
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Report report("cost at the quality target");
  runShape(vembanadShape(), report);
  runShape(asantewaaShape(), report);
  Shape distinct = vembanadShape();
  distinct.Name = "vembanad-classes-tell";
  distinct.DifficultySpread = 0.05;
  runShape(distinct, report);
  Shape dropped = vembanadShape();
  dropped.Name = "vembanad-medium-drops";
  dropped.DropAt = dropped.Requests / 2;
  runShape(dropped, report);
  report.print();
  report.write(FLAGS_out, "cost", "cost / oracle");
}
