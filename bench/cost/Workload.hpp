#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Random.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

/// Experiment that compares the cost of the planner at the quality target with
/// baselines and an oracle.
namespace cowslipridge::bench::cost {

inline constexpr std::size_t Versions = 3; ///< small, medium, large

/// Scores of the answer that one version gives to one request.
struct Answer {
  double Grade = 0;
  double CheckScore = 0;
};

/// Describes one request, including values that are unknown to a policy when it
/// chooses a version.
struct Request {
  std::size_t Organisation = 0;
  std::size_t Class = 0;
  bool Stream = false;
  bool GradeMissing = false;
  std::array<Answer, Versions> Answers;
};

/// Parameters of one workload.
struct Shape {
  std::string Name;
  std::size_t Requests = 30'000;
  double PerSecond = 20;
  double StreamShare = 0.2;
  /// Mean difficulty of each request class; each request deviates from it.
  std::array<double, 4> Difficulties{0.15, 0.35, 0.55, 0.75};
  double DifficultySpread = 0.25;
  double GradeNoise = 0.05;
  double CheckNoise = 0.08;
  /// Index of the first request for which the medium version's grades are lower
  /// by `Drop`.
  std::size_t DropAt = SIZE_MAX;
  double Drop = 0.35;
};

/// Returns a workload of deferrable drafts from several large organisations;
/// nothing is streamed.
Shape vembanadShape();
/// Returns a workload of fitting advice, half of which is streamed.
Shape asantewaaShape();

config::ServiceDeclaration makeService();
std::vector<Request> drawRequests(const Shape &shape, core::Random &random);

} // namespace cowslipridge::bench::cost
