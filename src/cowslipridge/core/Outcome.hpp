#pragma once

#include <string_view>

namespace cowslipridge::core {

/// Whether a request was run, as far as it is known. `NotRun` is a guarantee:
/// the runner never started it. `Unknown` is used only when neither can be
/// established.
enum class Outcome { Ran, NotRun, Unknown };

/// Returns the value of the `Cowslipridge-Outcome` header: `ran`, `not-run`,
/// `unknown`.
constexpr std::string_view toString(Outcome outcome) {
  switch (outcome) {
  case Outcome::Ran:
    return "ran";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace cowslipridge::core
