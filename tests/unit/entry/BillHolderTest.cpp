#include "cowslipridge/entry/BillHolder.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::entry;

namespace {

const core::InstanceId First("fit-1");
const core::InstanceId Second("fit-2");

HeldBill billOf(const std::string &request, const std::string &line,
                const core::InstanceId &sidecar) {
  return {core::RequestId(request), core::ServiceId("fitting"), line, sidecar,
          core::Millis(0)};
}

bool isAlive(const core::InstanceId & /*name*/) { return true; }
bool isDead(const core::InstanceId & /*name*/) { return false; }

TEST(BillHolder, holdsBillUntilItsSidecarReportsItStored) {
  BillHolder holder;
  holder.hold(billOf("r1", "draft", First));
  holder.hold(billOf("r1", "better", Second));
  holder.onStored(First, {core::RequestId("r1")});
  EXPECT_EQ(holder.size(), 1U);
  holder.onStored(Second, {core::RequestId("r1")});
  EXPECT_EQ(holder.size(), 0U);
}

TEST(BillHolder, billOfFailedSidecarIsDueImmediately) {
  BillHolder holder;
  holder.hold(billOf("r1", "x", First));
  EXPECT_TRUE(holder.due(core::Millis(10), isAlive).empty());
  ASSERT_EQ(holder.due(core::Millis(10), isDead).size(), 1U);
}

TEST(BillHolder, billWithoutReceiptIsDueAfterTimeout) {
  BillHolder holder;
  holder.hold(billOf("r1", "x", First));
  EXPECT_EQ(holder.due(BillHolder::ReceiptTimeout, isAlive).size(), 1U);
}

TEST(BillHolder, deliveredBillNeedsReceiptOfItsNewSidecar) {
  BillHolder holder;
  const HeldBill bill = billOf("r1", "x", First);
  holder.hold(bill);
  holder.onDelivered(bill, Second, core::Millis(100));
  holder.onStored(First, {bill.Request});
  EXPECT_EQ(holder.size(), 1U);
  holder.onStored(Second, {bill.Request});
  EXPECT_EQ(holder.size(), 0U);
}

} // namespace
