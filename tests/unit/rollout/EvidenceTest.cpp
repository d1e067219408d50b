#include "cowslipridge/rollout/Evidence.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::rollout;

namespace {

EvidenceRecord recordOf(const std::string &instance, std::uint64_t grades) {
  return {{core::InstanceId(instance), core::Incarnation(1)},
          {core::ServiceId("desk"), core::VersionId("small@1"),
           core::OrganisationId("club")},
          {grades, grades, grades * 500'000, 0}};
}

TEST(EvidenceTable, mergeIsIdempotentAndMonotone) {
  EvidenceTable table;
  EXPECT_TRUE(table.merge(recordOf("a", 5)));
  EXPECT_FALSE(table.merge(recordOf("a", 5)));
  EXPECT_FALSE(table.merge(recordOf("a", 3)));
  EXPECT_TRUE(table.merge(recordOf("b", 2)));
  EXPECT_EQ(table.total(recordOf("a", 0).Key).Grades, 7U);
}

TEST(EvidenceTable, returnsEachChangedRecordOnce) {
  EvidenceTable table;
  table.merge(recordOf("a", 5));
  table.merge(recordOf("b", 5));
  EXPECT_EQ(table.takeChanged(1).size(), 1U);
  EXPECT_EQ(table.takeChanged(10).size(), 1U);
  EXPECT_TRUE(table.takeChanged(10).empty());
}

} // namespace
