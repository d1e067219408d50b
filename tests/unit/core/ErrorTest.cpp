#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/core/Result.hpp"

#include <gtest/gtest.h>

#include <set>

using namespace cowslipridge::core;

namespace {

TEST(Error, everyCodeHasAUniqueSlug) {
  std::set<std::string_view> slugs;
  for (int n = static_cast<int>(Errc::Malformed);
       n <= static_cast<int>(Errc::Internal); ++n)
    EXPECT_TRUE(slugs.insert(slug(static_cast<Errc>(n))).second) << n;
}

TEST(Error, convertsToErrorCode) {
  const std::error_code ec = Errc::Sealed;
  EXPECT_EQ(ec.category(), errorCategory());
  EXPECT_EQ(ec.message(), "the journal was sealed");
}

TEST(Result, holdsValueOrError) {
  const Result<int> good = 7;
  ASSERT_TRUE(good.ok());
  EXPECT_EQ(*good, 7);
  EXPECT_FALSE(good.error());

  const Result<int> bad = Errc::Conflict;
  ASSERT_FALSE(bad.ok());
  EXPECT_EQ(bad.error(), Errc::Conflict);
}

} // namespace
