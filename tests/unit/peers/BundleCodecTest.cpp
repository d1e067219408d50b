#include "cowslipridge/peers/BundleCodec.hpp"

#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/peers/MessagePack.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::peers;

namespace {

constexpr std::uint64_t Started = 1'796'000'000'000;

StampedReport reportOf(const std::string &name, std::size_t size) {
  return {core::InstanceId(name),
          {core::Incarnation(Started), 7},
          std::string(size, '\xc1')};
}

Bundle sampleBundle() {
  Bundle bundle{core::InstanceId("g-1"), BundleKind::Relayed, true, true, {}};
  bundle.Reports = {reportOf("g-1", 20), reportOf("g-2", 0)};
  bundle.Reports.back().Stamp = {core::Incarnation(Started - 90'000),
                                 1ULL << 40};
  return bundle;
}

TEST(BundleCodecTest, roundTripsABundle) {
  const auto datagrams = encodeBundle(sampleBundle());
  ASSERT_EQ(datagrams.size(), 1U);
  EXPECT_TRUE(isBundle(datagrams.front()));
  const auto decoded = decodeBundle(datagrams.front());
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(*decoded, sampleBundle());
}

// Guards against datagrams that the network refuses as too large.
TEST(BundleCodecTest, splitsALargeBundle) {
  Bundle bundle = sampleBundle();
  bundle.Reports.clear();
  for (int n = 0; n < 100; ++n)
    bundle.Reports.push_back(reportOf("g-" + std::to_string(n), 1'970));
  bundle.Reports.push_back(reportOf("large", 62'000));
  std::vector<StampedReport> decoded;
  for (const std::string &it : encodeBundle(bundle)) {
    const auto part = decodeBundle(it);
    ASSERT_TRUE(part.ok());
    EXPECT_TRUE(it.size() <= MaxDatagram || part->Reports.size() == 1);
    EXPECT_LE(it.size(), 65'507U);
    decoded.insert(decoded.end(), part->Reports.begin(), part->Reports.end());
  }
  EXPECT_EQ(decoded, bundle.Reports);
}

// Guards against an exception or a crash caused by a damaged datagram.
TEST(BundleCodecTest, survivesTruncatedAndMutatedDatagrams) {
  const std::string bytes = encodeBundle(sampleBundle()).front();
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(decodeBundle(bytes.substr(0, n)).ok()) << n;
  core::Random random(20'261'204);
  for (int n = 0; n < 20'000; ++n) {
    std::string mutated = bytes;
    for (int k = 0; k <= n % 4; ++k)
      mutated[core::uniformIndex(random, mutated.size())] =
          static_cast<char>(random());
    EXPECT_NO_THROW(static_cast<void>(decodeBundle(mutated)));
  }
}

// Guards against a stack overflow: the library's parser recurses.
TEST(BundleCodecTest, rejectsDeepNesting) {
  for (const char head : {'\x91', '\x81'}) {
    EXPECT_FALSE(decodeBundle(std::string(65'507, head)).ok());
    EXPECT_FALSE(parseMessagePack(std::string(65'507, head)).ok());
  }
}

// Guards against memory that an announced but absent array takes.
TEST(BundleCodecTest, rejectsLengthsBeyondTheDatagram) {
  for (const std::string &it : {std::string("\xdd\xff\xff\xff\xff"),
                                std::string("\xc6\xff\xff\xff\xff"),
                                std::string("\xdf\xff\xff\xff\xff")})
    EXPECT_FALSE(decodeBundle(it).ok());
}

} // namespace
