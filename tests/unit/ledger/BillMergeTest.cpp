#include "cowslipridge/ledger/BillMerge.hpp"
#include "cowslipridge/ledger/BillCodec.hpp"

#include "cowslipridge/core/Error.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger;
using core::Outcome;

namespace {

Bill billOf(const std::string &part, Outcome outcome, std::uint64_t cost) {
  Bill bill;
  bill.Request = core::RequestId("r1");
  bill.Result = outcome;
  bill.Parts = {{core::VersionId("v"), part, outcome, 1, 2, cost}};
  return bill;
}

TEST(BillMerge, mergesPartsOfCascadeIntoOneBill) {
  const Bill merged = mergeBills(billOf("draft", Outcome::Ran, 10),
                                 billOf("better", Outcome::Ran, 90));
  ASSERT_EQ(merged.Parts.size(), 2U);
  EXPECT_EQ(merged.Parts[0].CostMicro + merged.Parts[1].CostMicro, 100U);
  EXPECT_EQ(merged.Result, Outcome::Ran);
}

TEST(BillMerge, countsPartInBothBillsOnce) {
  const Bill merged = mergeBills(billOf("single", Outcome::Unknown, 0),
                                 billOf("single", Outcome::Ran, 90));
  ASSERT_EQ(merged.Parts.size(), 1U);
  EXPECT_EQ(merged.Parts[0].CostMicro, 90U);
  EXPECT_EQ(merged.Result, Outcome::Ran);
}

TEST(BillMerge, isCommutativeAssociativeAndIdempotent) {
  const std::vector<Bill> bills = {billOf("draft", Outcome::Ran, 10),
                                   billOf("better", Outcome::Unknown, 0),
                                   billOf("better", Outcome::Ran, 90)};
  const Bill once = mergeBills(mergeBills(bills[0], bills[1]), bills[2]);
  const Bill other = mergeBills(bills[2], mergeBills(bills[1], bills[0]));
  EXPECT_EQ(once, other);
  EXPECT_EQ(mergeBills(once, bills[1]), once);
}

TEST(BillCodec, roundTripsAndRejectsMalformedLines) {
  const Bill bill = billOf("draft", Outcome::Unknown, 7);
  EXPECT_EQ(*decodeBill(encodeBill(bill)), bill);
  for (const char *garbage : {"", "{}", "[1]", "{\"type\":\"claim\"}", "nul"})
    EXPECT_EQ(decodeBill(garbage).error(), core::Errc::Malformed) << garbage;
}

} // namespace
