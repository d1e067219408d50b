#include "cowslipridge/gateway/Placement.hpp"

namespace cowslipridge::gateway {

std::string_view toString(AttemptKind kind) {
  switch (kind) {
  case AttemptKind::First:
    return "first";
  case AttemptKind::Failover:
    return "another";
  case AttemptKind::Retry:
  case AttemptKind::RetryUnanswered:
    return "repeat";
  case AttemptKind::Escalate:
    break;
  }
  return "escalate";
}

std::string_view toString(AttemptOutcome outcome) {
  switch (outcome) {
  case AttemptOutcome::Served:
    return "served";
  case AttemptOutcome::Unreachable:
    return "unreachable";
  case AttemptOutcome::Rejected:
    return "rejected";
  case AttemptOutcome::ErrorResponse:
    return "failed";
  case AttemptOutcome::Broken:
    return "broken";
  case AttemptOutcome::TimedOut:
    return "timed-out";
  case AttemptOutcome::Cancelled:
    break;
  }
  return "dropped";
}

} // namespace cowslipridge::gateway
