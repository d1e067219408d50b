#pragma once

#include <string_view>
#include <system_error>

namespace cowslipridge::core {

/// All errors that the project's own code returns. docs/caller.md lists those
/// that callers can receive.
enum class Errc {
  Malformed = 1,       ///< the request cannot be parsed
  TooLarge,            ///< a body or header is over its limit
  Unauthenticated,     ///< no valid API key, or peer authentication failed
  NotAllowed,          ///< the organisation may not use this version or service
  UnknownService,      ///< no such service is declared
  UnknownVersion,      ///< no such version is declared
  VersionWithdrawn,    ///< the version takes no new requests
  SessionEnded,        ///< the session's version is withdrawn; start a new one
  InvalidSession,      ///< the session token is forged, foreign or damaged
  Overloaded,          ///< rejected by admission control; retry later
  DeadlineExceeded,    ///< the deadline passed before the answer was complete
  NoRunner,            ///< no live runner serves an allowed version
  NotOwner,            ///< another sidecar owns this key's shard
  Leaving,             ///< the instance is draining and takes no new work
  StaleGeneration,     ///< the sender's configuration is outdated
  StoreUnavailable,    ///< the key-value service is unreachable
  Conflict,            ///< a compare-and-swap found another value
  Sealed,              ///< the journal was sealed by a take-over
  RunnerUnavailable,   ///< the runner refused or could not be reached
  RunnerFailed,        ///< the runner aborted or sent an invalid response
  OutcomeUnknown,      ///< whether the call ran is not known
  DuplicateInProgress, ///< the same key is running and cannot be attached to
  Cancelled,           ///< the caller disconnected
  InvalidConfig,       ///< a settings or declaration file is invalid
  Internal,            ///< a bug in this program
};

/// Returns the error category of Errc.
const std::error_category &errorCategory();

/// Found by argument-dependent lookup; makes Errc convert to std::error_code.
std::error_code make_error_code(Errc ec);

/// Returns the stable short name used in `application/problem+json` types, such
/// as `version-withdrawn`.
std::string_view slug(Errc ec);

/// Returns the HTTP status of a response that reports this error.
int httpStatus(Errc ec);

} // namespace cowslipridge::core

template <>
struct std::is_error_code_enum<cowslipridge::core::Errc> : std::true_type {};
