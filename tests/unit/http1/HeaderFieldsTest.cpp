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

TEST(HeaderFieldsTest, fieldsStayInOrderAsOthersAreReplaced) {
  HeaderFields fields;
  fields.add("A", "1");
  fields.add("B", "2");
  fields.add("C", "3");
  fields.set("B", "4");
  std::string text;
  for (const HeaderField it : fields)
    text += std::string(it.Name) + std::string(it.Value) + " ";
  EXPECT_EQ(text, "A1 C3 B4 ");
}

// Guards against a head of very many short fields that takes up many times its
// bytes.
TEST(HeaderFieldsTest, shortFieldsTakeUpLittleMoreThanTheirBytes) {
  constexpr std::size_t Count = 16'000;
  constexpr std::size_t BytesOnTheWire = 5; // "a: \r\n"
  HeaderFields fields;
  for (std::size_t n = 0; n < Count; ++n)
    fields.add("a", "");
  EXPECT_LT(fields.heldBytes(), Count * BytesOnTheWire * 6);
}

// Guards against a head that occupies the only thread, as each of its fields is
// compared with all others.
TEST(HeaderFieldsTest, veryManyFieldsAreForwardedInLinearTime) {
  constexpr std::size_t Count = 200'000;
  HeaderFields fields;
  for (std::size_t n = 0; n < Count; ++n)
    fields.add("a", "");
  fields.add("Connection", "a");
  EXPECT_EQ(endToEnd(fields), HeaderFields());
}

} // namespace
