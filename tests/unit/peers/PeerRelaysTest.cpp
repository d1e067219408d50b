#include "cowslipridge/peers/PeerRelays.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::peers;
using core::Millis;

namespace {

Member memberOf(const std::string &name, const std::string &domain) {
  return {core::InstanceId(name), core::FailureDomainId(domain),
          ProtocolVersion};
}

StampedReport stamped(const std::string &name, std::uint64_t incarnation,
                      std::uint64_t sequence) {
  return {core::InstanceId(name),
          {core::Incarnation(incarnation), sequence},
          "report"};
}

Bundle bundleOf(const std::string &sender, BundleKind kind,
                std::vector<StampedReport> reports) {
  return {core::InstanceId(sender), kind, false, false, std::move(reports)};
}

class PeerRelaysTest : public testing::Test {
protected:
  PeerRelaysTest() : Relays(memberOf("a1", "a"), core::Incarnation(1)) {
    Relays.put(memberOf("a2", "a"));
    Relays.put(memberOf("b1", "b"));
    Relays.put(memberOf("b2", "b"));
  }
  std::size_t accepted(const Bundle &bundle, Millis now) {
    return Relays.onBundle(bundle, now).Accepted.size();
  }

  PeerRelays Relays;
};

// Guards against a stale report in place of a newer one, also after a restart.
TEST_F(PeerRelaysTest, acceptsOnlyNewerReports) {
  using enum BundleKind;
  const Millis now(1'000);
  EXPECT_EQ(accepted(bundleOf("b1", Relayed, {stamped("b2", 5, 7)}), now), 1U);
  EXPECT_EQ(accepted(bundleOf("b1", Relayed, {stamped("b2", 5, 7)}), now), 0U);
  EXPECT_EQ(accepted(bundleOf("b1", Relayed, {stamped("b2", 5, 6)}), now), 0U);
  EXPECT_EQ(accepted(bundleOf("b1", Relayed, {stamped("b2", 6, 1)}), now), 1U);
  EXPECT_EQ(accepted(bundleOf("b1", Relayed, {stamped("b2", 5, 8)}), now), 0U);
}

// Guards against a gateway that reports in the name of another one, and against
// the effect of gateways that are not registered.
TEST_F(PeerRelaysTest, ignoresForeignReports) {
  using enum BundleKind;
  const Millis now(1'000);
  EXPECT_EQ(accepted(bundleOf("b1", Direct, {stamped("b2", 5, 7)}), now), 0U);
  EXPECT_EQ(accepted(bundleOf("b1", Relayed, {stamped("x", 5, 7)}), now), 0U);
  EXPECT_EQ(accepted(bundleOf("x", Relayed, {stamped("b2", 5, 7)}), now), 0U);
  EXPECT_EQ(accepted(bundleOf("b1", Relayed, {stamped("a1", 5, 7)}), now), 0U);
}

// Guards against reports that circulate between gateways of a domain.
TEST_F(PeerRelaysTest, forwardsEachReportOnce) {
  const auto bundle =
      bundleOf("b1", BundleKind::Relayed, {stamped("b2", 5, 7)});
  const auto first = Relays.onBundle(bundle, Millis(1'000));
  ASSERT_EQ(first.Onward.size(), 1U);
  EXPECT_EQ(first.Onward[0].To, std::vector{core::InstanceId("a2")});
  EXPECT_EQ(first.Onward[0].Content.Kind, BundleKind::Forwarded);
  EXPECT_TRUE(Relays.onBundle(bundle, Millis(1'000)).Onward.empty());
  EXPECT_TRUE(Relays
                  .onBundle(bundleOf("a2", BundleKind::Forwarded,
                                     {stamped("b2", 5, 8)}),
                            Millis(1'000))
                  .Onward.empty());
}

// Guards against a gateway that nobody hears until a relay knows it.
TEST_F(PeerRelaysTest, sendsDirectlyUntilRelaysWork) {
  std::size_t recipients = 0;
  for (const Delivery &it : Relays.onOwnReport("r", false, Millis(0))) {
    if (it.Content.Kind == BundleKind::Direct)
      recipients += it.To.size();
  }
  EXPECT_EQ(recipients, 3U);
}

// Guards against a build without bundles that gets nothing.
TEST_F(PeerRelaysTest, sendsPlainReportsToOldBuilds) {
  Relays.put({core::InstanceId("old"), core::FailureDomainId(), 0});
  EXPECT_EQ(Relays.plainRecipients(), std::vector{core::InstanceId("old")});
}

} // namespace
