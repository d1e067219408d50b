#include "cowslipridge/sidecar/Billing.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;

namespace {

TEST(Billing, pricesPromptAndAnswerTokens) {
  config::VersionDeclaration version;
  version.CostPerThousandTokens = 0.25;
  EXPECT_EQ(sidecar::costMicro(version, {1'500, 1'000, 500}), 500'000U);
}

TEST(Billing, billNamesRequestPartAndOutcome) {
  rpc::RunRequest request;
  request.Request = core::RequestId("k-1");
  request.Part = "draft";
  config::VersionDeclaration version;
  version.Name = core::VersionId("small@3");
  const ledger::Bill bill = sidecar::makeBill(
      request, version, core::Outcome::Unknown, {7, 0, 3}, core::Millis(9));
  EXPECT_EQ(bill.Request, request.Request);
  EXPECT_EQ(bill.Result, core::Outcome::Unknown);
  ASSERT_EQ(bill.Parts.size(), 1U);
  EXPECT_EQ(bill.Parts[0].Part, "draft");
  EXPECT_EQ(bill.Parts[0].Version, version.Name);
  EXPECT_EQ(bill.Parts[0].AnswerTokens, 3U);
}

} // namespace
