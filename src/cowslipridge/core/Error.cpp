#include "cowslipridge/core/Error.hpp"

#include <array>
#include <string>

namespace cowslipridge::core {

namespace {

struct ErrorEntry {
  Errc Code;
  int Status;
  std::string_view Slug;
  std::string_view Text;
};

constexpr std::array Entries = {
    ErrorEntry{Errc::Malformed, 400, "malformed",
               "the request cannot be parsed"},
    ErrorEntry{Errc::TooLarge, 413, "too-large",
               "the body or a header is over its limit"},
    ErrorEntry{Errc::Unauthenticated, 401, "unauthenticated",
               "no valid key was given"},
    ErrorEntry{Errc::NotAllowed, 403, "not-allowed",
               "the organisation may not use this"},
    ErrorEntry{Errc::UnknownService, 404, "unknown-service",
               "no such service is declared"},
    ErrorEntry{Errc::UnknownVersion, 404, "unknown-version",
               "no such version is declared"},
    ErrorEntry{Errc::VersionWithdrawn, 410, "version-withdrawn",
               "the version takes no new requests"},
    ErrorEntry{Errc::SessionEnded, 410, "session-ended",
               "the session's version was withdrawn; start a new session"},
    ErrorEntry{Errc::InvalidSession, 400, "invalid-session",
               "the session token is not valid here"},
    ErrorEntry{Errc::Overloaded, 429, "overloaded",
               "too much work is waiting; come back later"},
    ErrorEntry{Errc::DeadlineExceeded, 504, "deadline-exceeded",
               "the deadline passed"},
    ErrorEntry{Errc::NoRunner, 503, "no-runner",
               "no runner serves an allowed version now"},
    ErrorEntry{Errc::NotOwner, 503, "not-owner",
               "another sidecar owns this key"},
    ErrorEntry{Errc::Leaving, 503, "leaving", "the instance takes no new work"},
    ErrorEntry{Errc::StaleGeneration, 503, "stale-generation",
               "the configuration is behind"},
    ErrorEntry{Errc::StoreUnavailable, 503, "store-unavailable",
               "the key-value service does not answer"},
    ErrorEntry{Errc::Conflict, 409, "conflict",
               "another change was published first"},
    ErrorEntry{Errc::Sealed, 503, "sealed", "the journal was sealed"},
    ErrorEntry{Errc::RunnerUnavailable, 503, "runner-unavailable",
               "the runner cannot be reached"},
    ErrorEntry{Errc::RunnerFailed, 502, "runner-failed",
               "the runner broke off or answered garbage"},
    ErrorEntry{Errc::OutcomeUnknown, 502, "outcome-unknown",
               "the call may or may not have run"},
    ErrorEntry{Errc::DuplicateInProgress, 409, "duplicate-in-progress",
               "the same key is running"},
    ErrorEntry{Errc::Cancelled, 499, "cancelled", "the caller went away"},
    ErrorEntry{Errc::InvalidConfig, 422, "invalid-config",
               "the settings have findings"},
    ErrorEntry{Errc::Internal, 500, "internal", "a defect of this program"},
};

const ErrorEntry &entryOf(Errc ec) {
  for (const ErrorEntry &it : Entries) {
    if (it.Code == ec)
      return it;
  }
  return Entries.back();
}

class Category final : public std::error_category {
public:
  [[nodiscard]] const char *name() const noexcept override {
    return "cowslipridge";
  }
  [[nodiscard]] std::string message(int value) const override {
    return std::string(entryOf(static_cast<Errc>(value)).Text);
  }
};

} // namespace

const std::error_category &errorCategory() {
  static const Category Instance;
  return Instance;
}

std::error_code make_error_code(Errc ec) {
  return {static_cast<int>(ec), errorCategory()};
}

std::string_view slug(Errc ec) { return entryOf(ec).Slug; }

int httpStatus(Errc ec) { return entryOf(ec).Status; }

} // namespace cowslipridge::core
