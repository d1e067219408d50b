#include "cowslipridge/sidecar/BillLine.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;

namespace {

TEST(BillLine, isReadBackAsWritten) {
  ledger::Bill bill;
  bill.Request = core::RequestId("k-1");
  bill.Service = core::ServiceId("drafting");
  bill.Parts = {
      {core::VersionId("small@3"), "draft", core::Outcome::Ran, 3, 4, 5}};
  EXPECT_EQ(sidecar::readBillLine(sidecar::writeBillLine(bill)), bill);
}

TEST(BillLine, otherTextIsNoBill) {
  for (const char *it : {"", "{", "[]", "{}", "7"})
    EXPECT_EQ(sidecar::readBillLine(it), std::nullopt) << it;
}

} // namespace
