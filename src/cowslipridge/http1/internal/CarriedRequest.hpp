#pragma once

#include "cowslipridge/http1/Client.hpp"

#include <compare>
#include <cstddef>
#include <optional>

namespace cowslipridge::http1::internal {

/// Identifies a request among those of one connection: the hash of the value
/// that its response repeats. Two requests whose hashes are equal only need one
/// connection more.
class CarriedRequest {
public:
  /// Returns nothing for a call whose response repeats no value.
  static std::optional<CarriedRequest> of(const CallSpec &spec);
  friend auto operator<=>(const CarriedRequest &,
                          const CarriedRequest &) = default;

private:
  explicit CarriedRequest(std::size_t hash) : Hash(hash) {}
  std::size_t Hash;
};

} // namespace cowslipridge::http1::internal
