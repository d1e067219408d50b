#include "cowslipridge/config/GatewaySettings.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::config;

namespace {

constexpr const char *Good = "[process]\ninstance = edge-kochi-a-1\n"
                             "failure_domain = kochi-a\ngrace_period = 8s\n"
                             "[listen]\ncallers = 10.1.0.40:8227\n"
                             "readiness = 10.1.0.40:8220\n"
                             "peers = 10.1.0.40:7340\n"
                             "metrics = 10.1.0.40:9464\n"
                             "[regions]\nkochi-a = kerala\ntvm-a = kerala\n"
                             "[store]\naddress = 10.200.1.7:8223\n"
                             "[promises]\nretry_ratio = 0.9\n"
                             "retry_window = 10s\nretry_allowance = 54\n"
                             "exposure_fraction = 0.15\n"
                             "exposure_allowance = 30\n"
                             "session_lifetime = 5s\n"
                             "configuration_deadline = 4000ms\n"
                             "drain_deadline = 3s\n";

TEST(GatewaySettingsTest, readsCompleteSettings) {
  core::Findings findings;
  const auto settings = parseGatewaySettings(Good, "g.ini", findings);
  ASSERT_TRUE(settings) << core::toString(findings.items().front());
  EXPECT_EQ(settings->Instance.str(), "edge-kochi-a-1");
  EXPECT_EQ(settings->Callers, (SocketAddress{"10.1.0.40", 8227}));
  EXPECT_EQ(settings->Metrics, (SocketAddress{"10.1.0.40", 9464}));
  EXPECT_EQ(settings->Retries.PerRequest, 0.9);
  EXPECT_EQ(settings->Retries.Window, core::Millis(10'000));
  EXPECT_EQ(settings->Exposure.Fixed, 30);
  EXPECT_EQ(settings->SessionLifetime, core::Millis(5'000));
  EXPECT_EQ(settings->ConfigurationDeadline, core::Millis(4'000));
  EXPECT_EQ(settings->DrainDeadline, core::Millis(3'000));
  EXPECT_EQ(settings->Regions.size(), 2U);
  EXPECT_EQ(settings->Regions.at(core::FailureDomainId("tvm-a")), "kerala");
}

TEST(GatewaySettingsTest, reportsAllFindingsTogether) {
  core::Findings findings;
  EXPECT_FALSE(parseGatewaySettings("[process]\ninstance = a b\n"
                                    "[listen]\ncallers = host:80\n"
                                    "readiness = 10.0.0.1:0\n"
                                    "colour = blue\n"
                                    "[promises]\nretry_ratio = -1\n"
                                    "[extra]\n",
                                    "g.ini", findings));
  std::string all;
  for (const core::Finding &it : findings.items())
    all += core::toString(it) + "\n";
  for (const char *key : {"instance", "failure_domain", "callers", "readiness",
                          "peers", "colour", "address", "retry_ratio", "extra"})
    EXPECT_NE(all.find(key), std::string::npos) << key << "\n" << all;
}

TEST(GatewaySettingsTest, memoryHasUnitsAndBounds) {
  const auto parse = [](const std::string &memory) {
    core::Findings findings;
    return parseGatewaySettings("[process]\ninstance = g\n"
                                "failure_domain = d\nmemory = " +
                                    memory +
                                    "\n[listen]\ncallers = 10.0.0.1:1\n"
                                    "readiness = 10.0.0.1:2\n"
                                    "peers = 10.0.0.1:3\n"
                                    "[store]\naddress = 10.0.0.1:4\n",
                                "g.ini", findings);
  };
  ASSERT_TRUE(parse("110MiB"));
  EXPECT_EQ(parse("110MiB")->Memory, 110UL * 1024 * 1024);
  EXPECT_FALSE(parse("110"));
  EXPECT_FALSE(parse("1MiB"));
}

TEST(GatewaySettingsTest, descriptorsHaveBoundsAndMayBeOmitted) {
  const auto parse = [](const std::string &line) {
    core::Findings findings;
    return parseGatewaySettings("[process]\ninstance = g\n"
                                "failure_domain = d\n" +
                                    line +
                                    "[listen]\ncallers = 10.0.0.1:1\n"
                                    "readiness = 10.0.0.1:2\n"
                                    "peers = 10.0.0.1:3\n"
                                    "[store]\naddress = 10.0.0.1:4\n",
                                "g.ini", findings);
  };
  ASSERT_TRUE(parse("descriptors = 4100\n"));
  EXPECT_EQ(parse("descriptors = 4100\n")->Descriptors, 4'100U);
  EXPECT_EQ(parse("")->Descriptors, std::nullopt);
  EXPECT_FALSE(parse("descriptors = 63\n"));
  EXPECT_FALSE(parse("descriptors = many\n"));
}

TEST(GatewaySettingsTest, allowancesMayBeFractionalOrOmitted) {
  const std::string addresses = "[listen]\ncallers = 10.1.0.40:8227\n"
                                "readiness = 10.1.0.40:8220\n"
                                "peers = 10.1.0.40:7340\n"
                                "[regions]\nkochi-a = kerala\ntvm-a = kerala\n"
                                "[store]\naddress = 10.200.1.7:8223\n";
  core::Findings findings;
  const auto settings = parseGatewaySettings(
      "[process]\ninstance = a\nfailure_domain = b\ngrace_period = 8.25s\n" +
          addresses +
          "[promises]\nsession_lifetime = 8.5s\nretry_allowance = 54.5\n"
          "exposure_allowance = 30.0\n",
      "g.ini", findings);
  ASSERT_TRUE(settings) << core::toString(findings.items().front());
  EXPECT_EQ(settings->SessionLifetime, core::Millis(8'500));
  EXPECT_EQ(settings->GracePeriod, core::Millis(8'250));
  EXPECT_EQ(settings->Retries.Fixed, 54.5);
  EXPECT_TRUE(
      parseGatewaySettings("[process]\ninstance = a\nfailure_domain = b\n\n" +
                               addresses + "[promises]\n\n\n",
                           "g.ini", findings));
}

TEST(GatewaySettingsTest, admissionOrderIsOffUnlessSwitchedOn) {
  core::Findings findings;
  const auto without = parseGatewaySettings(Good, "g.ini", findings);
  ASSERT_TRUE(without);
  EXPECT_FALSE(without->AdmissionOrder);
  const std::string section = "[admission]\norder = ";
  const auto on = parseGatewaySettings(Good + section + "on\n", "g", findings);
  ASSERT_TRUE(on);
  EXPECT_TRUE(on->AdmissionOrder);
  EXPECT_FALSE(parseGatewaySettings(Good + section + "maybe\n", "g", findings));
}

TEST(GatewaySettingsTest, metricsAddressIsOptional) {
  std::string text = Good;
  text.erase(text.find("metrics"), text.find("[store]") - text.find("metrics"));
  core::Findings findings;
  const auto settings = parseGatewaySettings(text, "g.ini", findings);
  ASSERT_TRUE(settings);
  EXPECT_FALSE(settings->Metrics);
}

} // namespace
