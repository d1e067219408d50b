#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/ledger/JournalHead.hpp"
#include "cowslipridge/ledger/JournalId.hpp"
#include "cowslipridge/ledger/ShardTable.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::ledger;

namespace {

constexpr int Cases = 10'000;

std::string anyBytes() { return *rc::gen::arbitrary<std::string>(); }

core::Outcome anyOutcome() {
  return *rc::gen::element(core::Outcome::Ran, core::Outcome::NotRun,
                           core::Outcome::Unknown);
}

IdempotencyKey anyKey() {
  return {core::OrganisationId(anyBytes()), core::ServiceId(anyBytes()),
          anyBytes()};
}

Bill anyBill() {
  Bill bill{core::RequestId(anyBytes()),
            core::OrganisationId(anyBytes()),
            core::ServiceId(anyBytes()),
            anyOutcome(),
            {},
            core::Millis(*rc::gen::arbitrary<std::int64_t>())};
  bill.Parts.push_back({core::VersionId(anyBytes()), anyBytes(), anyOutcome(),
                        *rc::gen::arbitrary<std::uint64_t>(),
                        *rc::gen::arbitrary<std::uint64_t>(),
                        *rc::gen::arbitrary<std::uint64_t>()});
  return bill;
}

JournalRecord anyRecord() {
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return Claim{anyKey(), core::RequestId(anyBytes()),
                 core::Millis(*rc::gen::arbitrary<std::int64_t>())};
  case 1:
    return ClaimOutcome{anyKey(), anyOutcome(), *rc::gen::arbitrary<int>(),
                        anyBytes()};
  case 2:
    return anyBill();
  case 3:
    return SessionPin{core::OrganisationId(anyBytes()),
                      core::ServiceId(anyBytes()), core::SessionId(anyBytes()),
                      core::VersionId(anyBytes())};
  case 4:
    return ShardRelease{core::ServiceId(anyBytes()),
                        *rc::gen::arbitrary<unsigned>()};
  default:
    return ShardAdoption{core::ServiceId(anyBytes()),
                         *rc::gen::arbitrary<unsigned>()};
  }
}

JournalHead anyHead() {
  JournalHead head{anyBytes(), *rc::gen::arbitrary<unsigned>(), anyBytes(), {}};
  const int n = *rc::gen::inRange(0, 4);
  for (int i = 0; i < n; ++i)
    head.Records.push_back(anyRecord());
  return head;
}

TEST(LedgerCodecProperties, headRoundTrip) {
  support::expectHolds(Cases, [] {
    const JournalHead head = anyHead();
    const auto decoded = decodeHead(encodeHead(head));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == head);
  });
}

TEST(LedgerCodecProperties, segmentRoundTrip) {
  support::expectHolds(Cases, [] {
    const std::vector<JournalRecord> records = anyHead().Records;
    RC_ASSERT(*decodeSegment(encodeSegment(records)) == records);
  });
}

TEST(LedgerCodecProperties, rejectsArbitraryBytes) {
  support::expectHolds(Cases, [] {
    const std::string garbage = anyBytes();
    RC_ASSERT(decodeHead(garbage).error() == core::Errc::Malformed);
    RC_ASSERT(decodeSegment(garbage).error() == core::Errc::Malformed);
    RC_ASSERT(decodeTable(garbage).error() == core::Errc::Malformed);
  });
}

// A damaged head is either rejected or decoded to some head. Decoding never
// throws.
TEST(LedgerCodecProperties, damagedHeadNeverThrows) {
  support::expectHolds(Cases, [] {
    std::string text = encodeHead(anyHead());
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    const auto decoded = decodeHead(text);
    RC_ASSERT(decoded.ok() || decoded.error() == core::Errc::Malformed);
    const auto cut = decodeHead(text.substr(0, at));
    RC_ASSERT(cut.error() == core::Errc::Malformed);
  });
}

TEST(LedgerCodecProperties, journalIdRoundTrip) {
  support::expectHolds(Cases, [] {
    const JournalId id{
        core::InstanceId("entry-" +
                         std::to_string(*rc::gen::arbitrary<unsigned>())),
        core::Incarnation(*rc::gen::arbitrary<std::uint64_t>()),
        *rc::gen::inRange(0U, 9U)};
    RC_ASSERT(parseJournalId(toString(id)) == id);
  });
}

} // namespace
