#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipridge::standins {

enum class Outage {
  None,
  Refuse, ///< answers 503 at once
  Hang,   ///< answers nothing until the outage ends
};

/// What a stand-in does wrong. Everything is off by default; PUT /debug/faults
/// replaces the whole set.
struct Faults {
  Outage Down = Outage::None;
  core::Millis Delay;            ///< before a request takes effect
  double SlowFactor = 1;         ///< stretches the service's own times
  int Status = 0;                ///< answers this instead of serving; 0: off
  unsigned LoseReplies = 0;      ///< the next N requests run, unanswered
  double LoseReplyChance = 0;    ///< 0..1, for each request
  bool Garbage = false;          ///< answers bytes that mean nothing
  unsigned BreakAfterEvents = 0; ///< breaks a stream off after N events; 0: off
  bool WrongId = false;          ///< answers carry another request's id
  bool Duplicate = false;        ///< sends each event of a stream twice
  std::uint64_t Seed = 1;

  friend bool operator==(const Faults &, const Faults &) = default;
};

/// Nothing when the text is not a JSON object of known faults.
std::optional<Faults> parseFaults(std::string_view text);
std::string toJson(const Faults &faults);

} // namespace cowslipridge::standins
