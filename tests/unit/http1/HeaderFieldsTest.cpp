#include "cowslipridge/http1/HeaderFields.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge::http1;

namespace {

TEST(HeaderFieldsTest, namesIgnoreCase) {
  HeaderFields fields;
  fields.add("Host", "a");
  fields.add("host", "b");
  EXPECT_EQ(fields.find("HOST"), "a");
  EXPECT_EQ(fields.count("hOST"), 2U);
  fields.set("HoSt", "c");
  EXPECT_EQ(fields.count("host"), 1U);
  fields.remove("HOST");
  EXPECT_FALSE(fields.find("host"));
}

TEST(HeaderFieldsTest, forwardsOnlyEndToEndFields) {
  HeaderFields fields;
  fields.add("Connection", "keep-alive, X-Hop");
  fields.add("Keep-Alive", "timeout=5");
  fields.add("Transfer-Encoding", "chunked");
  fields.add("TE", "trailers");
  fields.add("x-hop", "1");
  fields.add("X-Kept", "2");
  HeaderFields expected;
  expected.add("X-Kept", "2");
  EXPECT_EQ(endToEnd(fields), expected);
}

} // namespace
