// Measures how many requests a bad trial version serves before it is cut off,
// and how often and how fast a good trial version reaches the full share.
#include "exposure/Baselines.hpp"
#include "exposure/FleetTrial.hpp"
#include "exposure/Plot.hpp"
#include "exposure/Reference.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <numeric>
#include <thread>

DEFINE_int32(seeds, 20, "runs of each scenario and method");
DEFINE_int32(first_seed, 1, "seed of the first run");
DEFINE_int32(threads, 2, "runs in parallel");
DEFINE_string(only, "", "run only scenarios whose name contains this text");
DEFINE_bool(fleet_only, false, "run only the exposure guard");
DEFINE_string(csv, "", "CSV file with one line per run");
DEFINE_string(svg, "", "SVG file for the plot");
DEFINE_int32(length_s, 900,
             "simulated length of the exposure guard's runs, in seconds");
DEFINE_int32(sidecars, 4, "sidecars that serve the trial version");

namespace cowslipridge::exposure {
namespace {

struct Method {
  std::string Name;
  std::function<RunResult(const Scenario &, std::uint64_t)> Run;
};

struct Series {
  Scenario Settings;
  std::string Method;
  std::vector<RunResult> Runs;
};

std::vector<Method> allMethods() {
  FleetShape shape;
  shape.TrialSidecars = static_cast<unsigned>(FLAGS_sidecars);
  shape.Length = core::Millis(1'000) * FLAGS_length_s;
  std::vector<Method> methods = {
      {"exposure guard", [shape](const Scenario &x, std::uint64_t seed) {
         return runFleet(x, seed, shape);
       }}};
  if (FLAGS_fleet_only)
    return methods;
  methods.push_back({"reference", runReference});
  methods.push_back({"fixed share", runFixedShare});
  methods.push_back({"by hand", runOperatorCutOff});
  return methods;
}

Series runSeries(const Scenario &scenario, const Method &method) {
  Series series{scenario, method.Name, {}};
  series.Runs.resize(static_cast<std::size_t>(FLAGS_seeds));
  std::mutex guard;
  std::size_t next = 0;
  const auto work = [&] {
    for (;;) {
      std::size_t i = 0;
      {
        const std::lock_guard lock(guard);
        if (next == series.Runs.size())
          return;
        i = next++;
      }
      const auto seed = static_cast<std::uint64_t>(FLAGS_first_seed) + i;
      series.Runs[i] = method.Run(scenario, seed);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int i = 0; i < FLAGS_threads; ++i)
    threads.emplace_back(work);
  for (std::thread &it : threads)
    it.join();
  return series;
}

/// Statistics of one figure over the runs that have it.
struct Statistics {
  std::size_t Count = 0;
  double Mean = 0;
  double Deviation = 0;
  double Low = 0;
  double High = 0;
};

Statistics statisticsOf(const std::vector<double> &values) {
  Statistics stats{values.size(), 0, 0, 0, 0};
  if (values.empty())
    return stats;
  const double n = static_cast<double>(values.size());
  stats.Mean = std::accumulate(values.begin(), values.end(), 0.0) / n;
  for (const double it : values)
    stats.Deviation += (it - stats.Mean) * (it - stats.Mean) / n;
  stats.Deviation = std::sqrt(stats.Deviation);
  stats.Low = *std::min_element(values.begin(), values.end());
  stats.High = *std::max_element(values.begin(), values.end());
  return stats;
}

Statistics badServed(const Series &series) {
  std::vector<double> values;
  values.reserve(series.Runs.size());
  for (const RunResult &it : series.Runs)
    values.push_back(static_cast<double>(it.BadServed));
  return statisticsOf(values);
}

Statistics seconds(const Series &series,
                   std::optional<core::Millis> RunResult::*member) {
  std::vector<double> values;
  for (const RunResult &it : series.Runs) {
    if (it.*member)
      values.push_back(static_cast<double>((it.*member)->count()) / 1'000);
  }
  return statisticsOf(values);
}

std::string text(const Statistics &stats) {
  if (stats.Count == 0)
    return "-";
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << stats.Mean << " ± "
      << stats.Deviation << " (" << stats.Low << ".." << stats.High << ")";
  return out.str();
}

void printRow(const Series &series) {
  const auto falseCutOffs =
      std::count_if(series.Runs.begin(), series.Runs.end(),
                    [](const RunResult &x) { return x.FalseCutOff; });
  const Statistics cutOff = seconds(series, &RunResult::CutOffAt);
  const Statistics fullShare = seconds(series, &RunResult::FullShareAt);
  std::cout << "| " << series.Settings.Name << " | " << series.Method << " | "
            << (series.Settings.TrialIsBad ? text(badServed(series)) : "-")
            << " | " << cutOff.Count << " | " << text(cutOff) << " | "
            << falseCutOffs << " | " << fullShare.Count << " | "
            << text(fullShare) << " |" << std::endl;
}

void printHeader() {
  std::cout << "runs of each row: " << FLAGS_seeds << ", seeds from "
            << FLAGS_first_seed << ", guard's runs of " << FLAGS_length_s
            << " s, trial sidecars: " << FLAGS_sidecars
            << "\n\n| scenario | method | bad answers served | cut off | "
               "after s | false cut-offs | full share | after s |\n"
            << "| --- | --- | --- | --- | --- | --- | --- | --- |" << std::endl;
}

void writeCsv(const std::vector<Series> &all) {
  std::ofstream out(FLAGS_csv);
  out << "scenario,method,seed,bad_served,cut_off_ms,full_share_ms,false\n";
  for (const Series &series : all) {
    for (std::size_t i = 0; i < series.Runs.size(); ++i) {
      const RunResult &run = series.Runs[i];
      out << '"' << series.Settings.Name << "\"," << series.Method << ','
          << static_cast<std::size_t>(FLAGS_first_seed) + i << ','
          << run.BadServed << ',' << (run.CutOffAt ? run.CutOffAt->count() : -1)
          << ',' << (run.FullShareAt ? run.FullShareAt->count() : -1) << ','
          << run.FalseCutOff << '\n';
    }
  }
}

void writePlot(const std::vector<Series> &all) {
  std::vector<Bar> bars;
  for (const Series &series : all) {
    if (!series.Settings.TrialIsBad)
      continue;
    const Statistics stats = badServed(series);
    bars.push_back({series.Settings.Name, series.Method, stats.Mean, stats.Low,
                    stats.High});
  }
  std::ofstream(FLAGS_svg) << drawBars(
      "Answers of a bad version before it is cut off (line: all runs)", bars);
}

int run() {
  std::vector<Series> all;
  printHeader();
  for (const Scenario &scenario : allScenarios()) {
    if (scenario.Name.find(FLAGS_only) == std::string::npos)
      continue;
    for (const Method &method : allMethods()) {
      all.push_back(runSeries(scenario, method));
      printRow(all.back());
    }
  }
  if (!FLAGS_csv.empty())
    writeCsv(all);
  if (!FLAGS_svg.empty())
    writePlot(all);
  return 0;
}

} // namespace
} // namespace cowslipridge::exposure

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return cowslipridge::exposure::run();
}
