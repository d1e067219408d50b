#include "cowslipridge/http/internal/BaseUrl.hpp"

#include "cowslipridge/core/Error.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::http::internal;

namespace {

TEST(BaseUrlTest, readsHostPortAndPath) {
  EXPECT_EQ(*parseBaseUrl("http://127.0.0.1:8500"),
            (BaseUrl{"127.0.0.1", "8500", ""}));
  EXPECT_EQ(*parseBaseUrl("http://store.example/a/b/"),
            (BaseUrl{"store.example", "80", "/a/b"}));
  EXPECT_EQ(*parseBaseUrl("http://[::1]:8500/"), (BaseUrl{"::1", "8500", ""}));
}

TEST(BaseUrlTest, bracketsIpv6AddressesInTheHostField) {
  EXPECT_EQ((BaseUrl{"::1", "8500", ""}).authority(), "[::1]:8500");
  EXPECT_EQ((BaseUrl{"host", "80", ""}).authority(), "host:80");
}

TEST(BaseUrlTest, reportsOtherTextsAsMalformed) {
  for (const char *text :
       {"", "not an address", "127.0.0.1:8500", "https://host", "http://",
        "http://:80", "http://host:", "http://host:port", "http://host:123456",
        "http://[::1", "http://[::1]8500", "http://[]:80", "http://ho st",
        "http://host/\r\n"})
    EXPECT_EQ(parseBaseUrl(text).error(), core::Errc::Malformed) << text;
}

TEST(BaseUrlTest, targetsArePathsInVisibleCharacters) {
  EXPECT_TRUE(isTarget("/"));
  EXPECT_TRUE(isTarget("/a?b=%20"));
  for (const char *text :
       {"", "a", "http://host/", "/a b", "/a\r\nX: y", "/\x80"})
    EXPECT_FALSE(isTarget(text)) << text;
}

} // namespace
