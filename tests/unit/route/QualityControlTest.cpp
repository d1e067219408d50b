#include "cowslipridge/route/QualityControl.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::route;

namespace {

std::vector<PlanOption> makeOptions(double cheapQuality) {
  return {{SinglePlan{core::VersionId("cheap")}, 1, cheapQuality},
          {SinglePlan{core::VersionId("expensive")}, 10, 0.9}};
}

/// Returns the mean quality of the options chosen at `count` drawn prices.
double meanQuality(QualityControl &control,
                   const std::vector<PlanOption> &options, double target,
                   int count) {
  core::Random random(7);
  double sum = 0;
  for (int n = 0; n < count; ++n) {
    control.recordRequest(target, {"c", true}, options);
    sum += bestOption(options, control.drawPrice(random)).Quality;
  }
  return sum / count;
}

TEST(QualityControl, mixesTwoPlansToMeetTheTarget) {
  QualityControl control;
  const double mean = meanQuality(control, makeOptions(0.5), 0.7, 2000);
  EXPECT_NEAR(mean, 0.73, 0.03);
}

TEST(QualityControl, choosesTheCheapPlanWhenItMeetsTheTarget) {
  QualityControl control;
  EXPECT_NEAR(meanQuality(control, makeOptions(0.8), 0.6, 100), 0.8, 1e-9);
}

TEST(QualityControl, choosesTheBestPlanWhenTheTargetIsUnreachable) {
  QualityControl control;
  EXPECT_NEAR(meanQuality(control, makeOptions(0.5), 0.99, 100), 0.9, 1e-9);
}

TEST(QualityControl, raisesTheChosenQualityAfterLowGrades) {
  QualityControl control;
  const auto options = makeOptions(0.5);
  const double before = meanQuality(control, options, 0.7, 500);
  for (int n = 0; n < 50; ++n)
    control.observe(0.4);
  EXPECT_GT(meanQuality(control, options, 0.7, 500), before + 0.05);
}

} // namespace
