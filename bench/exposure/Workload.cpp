#include "exposure/Workload.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace cowslipridge::exposure {

namespace {

/// Share of each organisation in all requests; a few organisations are large.
constexpr std::array<double, OrganisationCount> OrganisationShares = {
    0.30, 0.22, 0.15, 0.11, 0.08, 0.06, 0.05, 0.03};

/// Scores follow a Beta distribution; a lower value spreads them wider.
constexpr double Concentration = 3;

double drawBeta(core::Random &random, double mean) {
  std::gamma_distribution<double> good(mean * Concentration, 1);
  std::gamma_distribution<double> bad((1 - mean) * Concentration, 1);
  const double a = good(random);
  const double b = bad(random);
  return a + b > 0 ? a / (a + b) : mean;
}

} // namespace

std::vector<Scenario> allScenarios() {
  Scenario good;
  good.Name = "good";
  Scenario bad = good;
  bad.Name = "bad from the start";
  bad.TrialIsBad = true;
  Scenario later = bad;
  later.Name = "turns bad later";
  later.BadFrom = core::Millis(120'000);
  Scenario one = bad;
  one.Name = "bad for one organisation";
  one.OneOrganisation = true;
  Scenario late = bad;
  late.Name = "bad, grades 5 s late";
  late.MeanGradeDelay = core::Millis(5'000);
  Scenario missing = bad;
  missing.Name = "bad, a third missing";
  missing.MissingGrades = 1.0 / 3;
  Scenario down = bad;
  down.Name = "bad, rating service down";
  down.RatingDownFrom = core::Millis(0);
  down.RatingDownTo = core::Millis(300'000);
  Scenario goodLate = good;
  goodLate.Name = "good, grades 5 s late";
  goodLate.MeanGradeDelay = core::Millis(5'000);
  Scenario goodMissing = good;
  goodMissing.Name = "good, a third missing";
  goodMissing.MissingGrades = 1.0 / 3;
  return {bad, later, one, late, missing, down, good, goodLate, goodMissing};
}

core::OrganisationId organisationOf(unsigned index) {
  return core::OrganisationId("org-" + std::to_string(index));
}

config::ServiceDeclaration declareService() {
  config::ServiceDeclaration service;
  service.Name = core::ServiceId("advice");
  config::VersionDeclaration old;
  old.Name = core::VersionId("old");
  config::VersionDeclaration trial;
  trial.Name = core::VersionId("new");
  trial.State = config::VersionState::Trial;
  service.Versions = {old, trial};
  for (unsigned i = 0; i < OrganisationCount; ++i) {
    config::OrganisationDeclaration organisation;
    organisation.Name = organisationOf(i);
    organisation.Allowed = {old.Name, trial.Name};
    service.Organisations.push_back(organisation);
  }
  config::RolloutDeclaration rollout;
  rollout.Trial = trial.Name;
  rollout.Replaces = old.Name;
  rollout.Steps = {0.05, 0.25, 0.5, 1};
  service.Rollout = rollout;
  return service;
}

Workload::Workload(Scenario scenario, std::uint64_t seed)
    : Settings(std::move(scenario)), Random(seed) {}

core::Millis Workload::nextGap() {
  std::exponential_distribution<double> gap(RequestsPerSecond / 1'000);
  return core::Millis(static_cast<std::int64_t>(std::llround(gap(Random))));
}

unsigned Workload::nextOrganisation() {
  std::discrete_distribution<unsigned> draw(OrganisationShares.begin(),
                                            OrganisationShares.end());
  return draw(Random);
}

bool Workload::isBad(unsigned organisation, core::Millis now) const {
  if (!Settings.TrialIsBad || now < Settings.BadFrom)
    return false;
  return !Settings.OneOrganisation || organisation == 0;
}

double Workload::score(bool isTrial, unsigned organisation, core::Millis now) {
  const bool bad = isTrial && isBad(organisation, now);
  return drawBeta(Random, bad ? Settings.BadMean : Settings.GoodMean);
}

std::optional<core::Millis> Workload::gradeAt(core::Millis now) {
  // Half of the mean delay is fixed; the rest is drawn from an exponential
  // distribution.
  const auto mean = static_cast<double>(Settings.MeanGradeDelay.count());
  std::exponential_distribution<double> rest(2 / mean);
  const core::Millis at =
      now + core::Millis(std::llround(mean / 2 + rest(Random)));
  if (core::uniform(Random) < Settings.MissingGrades)
    return std::nullopt;
  if (at >= Settings.RatingDownFrom && at < Settings.RatingDownTo)
    return std::nullopt;
  return at;
}

} // namespace cowslipridge::exposure
