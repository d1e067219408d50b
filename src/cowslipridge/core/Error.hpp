#pragma once

#include <string_view>
#include <system_error>

namespace cowslipridge::core {

/// Every error that the project's own code returns. docs/caller.md lists what
/// callers see of them.
enum class Errc {
  Malformed = 1,       ///< the request cannot be parsed
  TooLarge,            ///< a body or header is over its limit
  Unauthenticated,     ///< no valid API key or peer proof
  NotAllowed,          ///< the organisation may not use this version or service
  UnknownService,      ///< no such service is declared
  UnknownVersion,      ///< no such version is declared
  VersionWithdrawn,    ///< the version takes no new requests
  SessionEnded,        ///< the session's version is withdrawn; start a new one
  InvalidSession,      ///< the session token is forged, foreign or damaged
  Overloaded,          ///< admission refused; come back later
  DeadlineExceeded,    ///< the deadline passed before the answer was complete
  NoRunner,            ///< no live runner serves an allowed version
  NotOwner,            ///< another sidecar owns this key's shard
  Leaving,             ///< the instance is draining and takes no new work
  StaleGeneration,     ///< the sender's configuration is behind
  StoreUnavailable,    ///< the key-value service does not answer
  Conflict,            ///< a compare-and-swap found another value
  Sealed,              ///< the journal was sealed by a take-over
  RunnerUnavailable,   ///< the runner refused or could not be reached
  RunnerFailed,        ///< the runner broke off or answered garbage
  OutcomeUnknown,      ///< the call may or may not have run
  DuplicateInProgress, ///< the same key is running and cannot be attached to
  Cancelled,           ///< the caller went away
  InvalidConfig,       ///< a settings or declaration file has findings
  Internal,            ///< a defect of this program
};

/// The category of Errc.
const std::error_category &errorCategory();

/// Found by argument-dependent lookup; makes Errc convert to std::error_code.
std::error_code make_error_code(Errc ec);

/// The stable short name used in `application/problem+json` types, such as
/// `version-withdrawn`.
std::string_view slug(Errc ec);

/// The HTTP status that tells a caller of this error.
int httpStatus(Errc ec);

} // namespace cowslipridge::core

template <>
struct std::is_error_code_enum<cowslipridge::core::Errc> : std::true_type {};
