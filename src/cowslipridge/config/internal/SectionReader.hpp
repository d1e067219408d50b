#pragma once

#include "cowslipridge/config/internal/IniText.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::config::internal {

/// One word that a key may have as its value.
template <typename Value> struct Choice {
  std::string_view Word;
  Value Meaning;
};

/// Reads the keys of one section with their types. What is wrong with a value
/// becomes a finding, and the fallback is returned in its place.
class SectionReader {
public:
  SectionReader(std::string file, const IniSection &section,
                core::Findings &findings);

  /// The line of the section's title.
  [[nodiscard]] int line() const { return Section.Line; }
  [[nodiscard]] bool has(std::string_view key);
  /// The text under a key that must be there; `example` is what to write.
  std::string requireText(std::string_view key, const std::string &example);
  /// The same; what is not a name is a finding.
  std::string requireName(std::string_view key, const std::string &example);
  std::string text(std::string_view key, const std::string &fallback);
  std::uint64_t count(std::string_view key, std::uint64_t fallback,
                      std::uint64_t least, std::uint64_t most);
  double decimal(std::string_view key, double fallback, double least,
                 double most);
  core::Millis duration(std::string_view key, core::Millis fallback,
                        core::Millis least, core::Millis most);
  std::size_t size(std::string_view key, std::size_t fallback,
                   std::size_t least, std::size_t most);
  bool flag(std::string_view key, bool fallback);
  /// Items separated by commas; empty ones are findings.
  std::vector<std::string> list(std::string_view key);
  template <typename Value, std::size_t Size>
  Value choice(std::string_view key, Value fallback,
               const Choice<Value> (&choices)[Size]) {
    const IniEntry *it = take(key);
    if (it == nullptr)
      return fallback;
    std::string words;
    for (const Choice<Value> &one : choices) {
      if (one.Word == it->Value)
        return one.Meaning;
      words += (words.empty() ? "" : " or ") + std::string(one.Word);
    }
    fail(key, "unknown value '" + it->Value + "'", words);
    return fallback;
  }

  /// Reports something about a key, at its line when it has one.
  void fail(std::string_view key, std::string message, std::string suggestion);
  /// Reports keys that nobody asked for and keys that stand twice.
  void finish();

private:
  const IniEntry *take(std::string_view key);

  const std::string File;
  const IniSection &Section;
  core::Findings &Findings;
  std::set<std::string, std::less<>> Known;
};

/// The word that `text` was most likely meant to be; empty when none is near.
std::string nearestWord(std::string_view text,
                        const std::vector<std::string> &words);

} // namespace cowslipridge::config::internal
