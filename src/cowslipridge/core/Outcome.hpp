#pragma once

#include <string_view>

namespace cowslipridge::core {

/// What is known about whether a request was run. `NotRun` is a promise: the
/// runner never started it. `Unknown` is used only when that cannot be known.
enum class Outcome { Ran, NotRun, Unknown };

/// The text of the `Cowslipridge-Outcome` header: `ran`, `not-run`, `unknown`.
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
