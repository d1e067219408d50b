#include "cowslipridge/gateway/PeerReportCodec.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;

namespace {

constexpr std::size_t DatagramBytes = 60'000;
constexpr char ArrayOfOne = static_cast<char>(0x91);
constexpr char MapOfOne = static_cast<char>(0x81);
constexpr char EmptyKey = static_cast<char>(0xa0);

// Guards against a datagram that stops the process: the decoder calls itself
// for each level, so that deep nesting overflows the stack.
TEST(MalformedReportTest, deeplyNestedDatagramsAreRejected) {
  EXPECT_FALSE(decodePeerReport(std::string(DatagramBytes, ArrayOfOne)).ok());
  std::string maps;
  while (maps.size() < DatagramBytes)
    maps += {MapOfOne, EmptyKey};
  EXPECT_FALSE(decodePeerReport(maps).ok());
}

// Guards against memory that a stated length claims before its bytes arrive.
TEST(MalformedReportTest, absurdLengthsAreRejected) {
  for (const unsigned char type : {0xdd, 0xdf, 0xdb, 0xc6, 0xc9})
    EXPECT_FALSE(
        decodePeerReport(static_cast<char>(type) + std::string(4, '\xff'))
            .ok());
}

} // namespace
