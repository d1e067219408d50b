#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <Fleet.capnp.h>

namespace cowslipridge::rpc {

/// Limits on the number of list elements in one message. A message that exceeds
/// one of them is rejected as malformed. MaxEvidencePerStatus applies to each
/// list of a PeerStatus.
constexpr unsigned MaxEvidencePerStatus = 256;
constexpr unsigned MaxHeadersPerMessage = 256;
constexpr unsigned MaxPrefixHashes = 4'096;

// encode() fills in a message. decode() returns Errc::Malformed for a message
// that a correct peer would not send.
void encode(const PeerStatus &status, wire::Status::Builder out);
core::Result<PeerStatus> decode(wire::Status::Reader in);

void encode(const RunRequest &request, wire::RunRequest::Builder out);
core::Result<RunRequest> decode(wire::RunRequest::Reader in);

void encode(const RunResult &result, wire::RunResult::Builder out);
core::Result<RunResult> decode(wire::RunResult::Reader in);

void encode(const http::Headers &fields,
            capnp::List<wire::Header>::Builder out);
core::Result<http::Headers> decode(capnp::List<wire::Header>::Reader in);

/// Returns a copy of the bytes of a Cap'n Proto blob.
std::string toString(capnp::Data::Reader data);
/// Returns a view of `text`, which must outlive it.
capnp::Data::Reader toData(const std::string &text);

} // namespace cowslipridge::rpc
