#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/rpc/Codec.hpp"
#include "support/PropertyChecks.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cowslipridge;
using namespace cowslipridge::rpc;

namespace {

constexpr int CaseCount = 2'000;

std::string anyText() { return *rc::gen::arbitrary<std::string>(); }

std::string anyName() {
  return *rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z')));
}

std::uint32_t anyNumber() { return *rc::gen::arbitrary<std::uint32_t>(); }

PeerStatus anyStatus() {
  PeerStatus status;
  status.Instance = core::InstanceId(anyName());
  status.Start = core::Incarnation(anyNumber());
  status.Configuration = core::Generation(anyNumber());
  status.Leaving = *rc::gen::arbitrary<bool>();
  status.InFlight = anyNumber();
  status.PredictedWait = core::Millis(anyNumber());
  rollout::EvidenceRecord record;
  record.Source = {core::InstanceId(anyName()), core::Incarnation(3)};
  record.Key.Version = core::VersionId(anyName());
  record.Counters = {anyNumber(), anyNumber(), anyNumber(), anyNumber()};
  status.Evidence = {record};
  status.Grades = {{core::RequestId(anyName()), 0.25}};
  return status;
}

RunRequest anyRequest() {
  RunRequest request;
  request.Sender = anyStatus();
  request.Request = core::RequestId(anyName());
  request.Organisation = core::OrganisationId(anyName());
  request.Service = core::ServiceId(anyName());
  request.Version = core::VersionId(anyName());
  request.Fields = {{anyName(), anyName()}};
  request.Body = anyText();
  request.Remaining = core::Millis(anyNumber());
  request.Idempotent = *rc::gen::arbitrary<bool>();
  request.Billable = *rc::gen::arbitrary<bool>();
  request.PrefixHashes = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
  return request;
}

void assertEqual(const PeerStatus &a, const PeerStatus &b) {
  RC_ASSERT(a.Instance == b.Instance);
  RC_ASSERT(a.Start == b.Start);
  RC_ASSERT(a.Configuration == b.Configuration);
  RC_ASSERT(a.Leaving == b.Leaving);
  RC_ASSERT(a.InFlight == b.InFlight);
  RC_ASSERT(a.PredictedWait == b.PredictedWait);
  RC_ASSERT(a.Evidence == b.Evidence);
  RC_ASSERT(a.Grades == b.Grades);
}

TEST(CodecProperties, requestsSurviveARoundTrip) {
  support::expectHolds(CaseCount, [] {
    const RunRequest sent = anyRequest();
    capnp::MallocMessageBuilder message;
    encode(sent, message.initRoot<wire::RunRequest>());
    const auto decoded = decode(message.getRoot<wire::RunRequest>().asReader());
    RC_ASSERT(decoded.ok());
    assertEqual(decoded->Sender, sent.Sender);
    RC_ASSERT(decoded->Request == sent.Request);
    RC_ASSERT(decoded->Organisation == sent.Organisation);
    RC_ASSERT(decoded->Service == sent.Service);
    RC_ASSERT(decoded->Version == sent.Version);
    RC_ASSERT(decoded->Fields.size() == 1U);
    RC_ASSERT(decoded->Fields[0].Value == sent.Fields[0].Value);
    RC_ASSERT(decoded->Body == sent.Body);
    RC_ASSERT(decoded->Remaining == sent.Remaining);
    RC_ASSERT(decoded->Idempotent == sent.Idempotent);
    RC_ASSERT(decoded->Billable == sent.Billable);
    RC_ASSERT(decoded->PrefixHashes == sent.PrefixHashes);
  });
}

// Corrupt bytes must decode to a value or an error, or raise a kj::Exception,
// which closes only the connection. Anything else could end the process.
TEST(CodecProperties, corruptMessagesAreNeverFatal) {
  support::expectHolds(CaseCount, [] {
    capnp::MallocMessageBuilder message;
    encode(anyRequest(), message.initRoot<wire::RunRequest>());
    auto words = capnp::messageToFlatArray(message);
    auto bytes = words.asBytes();
    const auto corruptions = *rc::gen::arbitrary<std::vector<std::size_t>>();
    for (const std::size_t it : corruptions)
      bytes[it % bytes.size()] ^= static_cast<kj::byte>(1U + it % 255);
    try {
      capnp::FlatArrayMessageReader reader(words);
      (void)decode(reader.getRoot<wire::RunRequest>());
    } catch (const kj::Exception &) {
      RC_TAG("rejected by Cap'n Proto");
    }
  });
}

} // namespace
