#pragma once

#include "cowslipridge/core/Result.hpp"
#include "cowslipridge/rpc/Messages.hpp"

#include <Fleet.capnp.h>

namespace cowslipridge::rpc {

/// Limits on what one message may hold; a message over them is malformed.
constexpr unsigned MaxEvidencePerStatus = 256;
constexpr unsigned MaxHeadersPerMessage = 256;
constexpr unsigned MaxPrefixHashes = 4'096;

// Encoding fills a message; decoding gives Errc::Malformed for anything that a
// correct peer would not send.
void encode(const PeerStatus &status, wire::Status::Builder out);
core::Result<PeerStatus> decode(wire::Status::Reader in);

void encode(const RunRequest &request, wire::RunRequest::Builder out);
core::Result<RunRequest> decode(wire::RunRequest::Reader in);

void encode(const RunResult &result, wire::RunResult::Builder out);
core::Result<RunResult> decode(wire::RunResult::Reader in);

void encode(const http::Headers &fields,
            capnp::List<wire::Header>::Builder out);
core::Result<http::Headers> decode(capnp::List<wire::Header>::Reader in);

/// Bytes of a Cap'n Proto blob.
std::string toString(capnp::Data::Reader data);
capnp::Data::Reader toData(const std::string &text);

} // namespace cowslipridge::rpc
