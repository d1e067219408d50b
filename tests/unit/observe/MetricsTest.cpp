#include "cowslipridge/observe/Metrics.hpp"
#include "cowslipridge/observe/EventLog.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

using namespace cowslipridge;
using namespace cowslipridge::observe;
using testing::HasSubstr;

namespace {

class MetricsTest : public testing::Test {
protected:
  Metrics Registry{core::InstanceId("e1"), core::FailureDomainId("kochi-a")};
};

TEST_F(MetricsTest, exportsCountersWithTheirLabels) {
  const MetricLabels labels{core::ServiceId("desk"), core::VersionId("d@1"),
                            "ran"};
  Registry.add(CounterName::Requests, labels);
  Registry.add(CounterName::Requests, labels, 2);
  const std::string text = Registry.scrape();
  EXPECT_THAT(text, HasSubstr("# TYPE cowslipridge_requests_total counter"));
  EXPECT_THAT(text, HasSubstr("service=\"desk\""));
  EXPECT_THAT(text, HasSubstr("failure_domain=\"kochi-a\""));
  EXPECT_THAT(text, HasSubstr("} 3\n"));
}

TEST_F(MetricsTest, exportsDurationsInSeconds) {
  Registry.observe(HistogramName::RequestSeconds, {}, core::Millis(1'500));
  EXPECT_THAT(Registry.scrape(),
              HasSubstr("cowslipridge_request_seconds_sum{"));
  EXPECT_THAT(Registry.scrape(), HasSubstr("} 1.5\n"));
}

TEST_F(MetricsTest, settingAGaugeReplacesItsValue) {
  Registry.set(GaugeName::ConfigurationGeneration, {}, 4);
  Registry.set(GaugeName::ConfigurationGeneration, {}, 5);
  EXPECT_THAT(Registry.scrape(), HasSubstr("} 5\n"));
}

TEST_F(MetricsTest, eventLogCountsReportedEvents) {
  core::ManualClock clock;
  EventLog log(clock, core::InstanceId("e1"), core::Incarnation(1), 2,
               &Registry);
  for (int n = 0; n < 3; ++n)
    log.report(EventNumber::BillWritten, {});
  const std::string text = Registry.scrape();
  EXPECT_THAT(text, HasSubstr("event=\"bill-written\""));
  EXPECT_THAT(text, HasSubstr("} 3\n"));
}

TEST(MetricCatalogue, namesAreUnique) {
  std::set<std::string_view> names;
  for (const MetricEntry &it : metricCatalogue())
    EXPECT_TRUE(names.insert(it.Name).second) << it.Name;
  EXPECT_EQ(describe(CounterName::StoreCalls).Name,
            "cowslipridge_store_calls_total");
  EXPECT_EQ(describe(GaugeName::TrialShare).Name, "cowslipridge_trial_share");
  EXPECT_EQ(describe(HistogramName::StoreCallSeconds).Name,
            "cowslipridge_store_call_seconds");
}

} // namespace
