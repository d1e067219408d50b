#include "cowslipridge/http1/internal/CarriedRequest.hpp"

#include <functional>
#include <string>

namespace cowslipridge::http1::internal {

std::optional<CarriedRequest> CarriedRequest::of(const CallSpec &spec) {
  if (spec.EchoField.empty())
    return std::nullopt;
  return CarriedRequest(std::hash<std::string>()(spec.EchoValue));
}

} // namespace cowslipridge::http1::internal
