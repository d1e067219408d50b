#include "cost/Workload.hpp"

#include "support/Statistics.hpp"

#include <algorithm>

namespace cowslipridge::bench::cost {

namespace {

constexpr std::size_t Organisations = 10;
constexpr double OrganisationSkew = 0.9;
constexpr double MissingGradeShare = 1.0 / 3;
constexpr std::array<const char *, Versions> Names{"small@1", "medium@1",
                                                   "large@1"};
constexpr std::array<double, Versions> Costs{1, 4, 12};
/// Highest difficulty at which a version reaches `GoodGrade` on average.
constexpr std::array<double, Versions> Abilities{0.25, 0.55, 0.9};
constexpr double GoodGrade = 0.92;
/// Loss of grade per unit of difficulty above the ability.
constexpr double GradeLossSlope = 1.6;

double clampGrade(double grade) { return std::clamp(grade, 0.0, 1.0); }

Answer drawAnswer(const Shape &shape, double difficulty, std::size_t version,
                  bool dropped, core::Random &random) {
  std::normal_distribution<double> noise(0, 1);
  const double excess = std::max(0.0, difficulty - Abilities[version]);
  const double drop = dropped && version == 1 ? shape.Drop : 0;
  Answer answer;
  answer.Grade = clampGrade(GoodGrade - GradeLossSlope * excess - drop +
                            shape.GradeNoise * noise(random));
  answer.CheckScore =
      clampGrade(0.1 + 0.8 * answer.Grade + shape.CheckNoise * noise(random));
  return answer;
}

} // namespace

Shape vembanadShape() {
  Shape shape;
  shape.Name = "vembanad-drafts";
  shape.StreamShare = 0;
  return shape;
}

Shape asantewaaShape() {
  Shape shape;
  shape.Name = "asantewaa-advice";
  shape.StreamShare = 0.5;
  shape.Difficulties = {0.25, 0.4, 0.5, 0.6};
  return shape;
}

config::ServiceDeclaration makeService() {
  config::ServiceDeclaration service;
  service.Name = core::ServiceId("advice");
  for (std::size_t n = 0; n < Versions; ++n) {
    config::VersionDeclaration version;
    version.Name = core::VersionId(Names[n]);
    version.CostPerThousandTokens = Costs[n];
    version.ExpectedQuality = 0.6 + 0.1 * static_cast<double>(n);
    service.Versions.push_back(version);
  }
  for (std::size_t n = 0; n < Organisations; ++n) {
    config::OrganisationDeclaration organisation;
    organisation.Name = core::OrganisationId("org" + std::to_string(n));
    for (const char *name : Names)
      organisation.Allowed.emplace_back(name);
    organisation.QualityTarget = 0.74 + 0.04 * static_cast<double>(n % 3);
    service.Organisations.push_back(organisation);
  }
  return service;
}

std::vector<Request> drawRequests(const Shape &shape, core::Random &random) {
  const ZipfDraw organisations(Organisations, OrganisationSkew);
  std::normal_distribution<double> deviation(0, shape.DifficultySpread);
  std::vector<Request> requests(shape.Requests);
  for (std::size_t n = 0; n < requests.size(); ++n) {
    Request &request = requests[n];
    request.Organisation = organisations(random);
    request.Class = core::uniformIndex(random, shape.Difficulties.size());
    request.Stream = core::uniform(random) < shape.StreamShare;
    request.GradeMissing = core::uniform(random) < MissingGradeShare;
    const double difficulty =
        shape.Difficulties[request.Class] + deviation(random);
    for (std::size_t version = 0; version < Versions; ++version)
      request.Answers[version] =
          drawAnswer(shape, difficulty, version, n >= shape.DropAt, random);
  }
  return requests;
}

} // namespace cowslipridge::bench::cost
