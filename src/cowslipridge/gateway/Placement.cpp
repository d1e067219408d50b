#include "cowslipridge/gateway/Placement.hpp"

namespace cowslipridge::gateway {

std::string_view toString(SendKind kind) {
  switch (kind) {
  case SendKind::First:
    return "first";
  case SendKind::Another:
    return "another";
  case SendKind::Repeat:
    return "repeat";
  case SendKind::Escalate:
    break;
  }
  return "escalate";
}

std::string_view toString(SendOutcome outcome) {
  switch (outcome) {
  case SendOutcome::Served:
    return "served";
  case SendOutcome::Unreachable:
    return "unreachable";
  case SendOutcome::Rejected:
    return "rejected";
  case SendOutcome::FailedAnswer:
    return "failed";
  case SendOutcome::Broken:
    return "broken";
  case SendOutcome::Silent:
    return "silent";
  case SendOutcome::Dropped:
    break;
  }
  return "dropped";
}

} // namespace cowslipridge::gateway
