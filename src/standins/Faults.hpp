#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::standins {

enum class Outage {
  None,
  Refuse, ///< responds with 503 and does not run requests
  Hang,   ///< holds requests, aborts them when the outage ends
};

/// Faults that a stand-in injects. All are disabled by default; PUT
/// /debug/faults replaces the entire set.
struct Faults {
  Outage Down = Outage::None;
  core::Millis Delay;         ///< delays the effect of each request
  double SlowFactor = 1;      ///< multiplies the service's own processing times
  int Status = 0;             ///< responds with this status only; 0: disabled
  unsigned LoseReplies = 0;   ///< the next N requests run but get no response
  double LoseReplyChance = 0; ///< probability for each request, 0 to 1
  bool Garbage = false;       ///< replaces bodies and events by invalid data
  unsigned BreakAfterEvents = 0; ///< aborts a stream after N events; 0: off
  bool WrongId = false;          ///< responses carry another request's id
  bool Duplicate = false;        ///< sends each event of a stream twice
  std::uint64_t Seed = 1;

  friend bool operator==(const Faults &, const Faults &) = default;
};

/// Returns nothing when the text is not a JSON object of known faults.
std::optional<Faults> parseFaults(std::string_view text);
std::string toJson(const Faults &faults);

} // namespace cowslipridge::standins
