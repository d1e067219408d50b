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

/// One word that a key accepts, with the value that it stands for.
template <typename Value> struct Choice {
  std::string_view Word;
  Value Meaning;
};

/// Reads typed values of the keys of one section. For an invalid value, adds a
/// finding and returns the fallback.
class SectionReader {
public:
  SectionReader(std::string file, const IniSection &section,
                core::Findings &findings);

  /// Returns the line number of the section's title.
  [[nodiscard]] int line() const { return Section.Line; }
  [[nodiscard]] bool has(std::string_view key);
  /// Returns the keys of a section whose keys are names, each once.
  [[nodiscard]] std::set<std::string> keys() const;
  /// Returns the text of a required key; `example` is suggested when it is
  /// missing.
  std::string requireText(std::string_view key, const std::string &example);
  /// Like requireText(), but a value that is not a valid name is a finding.
  std::string requireName(std::string_view key, const std::string &example);
  std::string text(std::string_view key, const std::string &fallback);
  std::uint64_t count(std::string_view key, std::uint64_t fallback,
                      std::uint64_t min, std::uint64_t max);
  double decimal(std::string_view key, double fallback, double min, double max);
  core::Millis duration(std::string_view key, core::Millis fallback,
                        core::Millis min, core::Millis max);
  std::size_t size(std::string_view key, std::size_t fallback, std::size_t min,
                   std::size_t max);
  bool flag(std::string_view key, bool fallback);
  /// Returns the items separated by commas; empty items are findings.
  std::vector<std::string> list(std::string_view key);
  template <typename Value, std::size_t Size>
  Value choice(std::string_view key, Value fallback,
               const Choice<Value> (&choices)[Size]) {
    const IniEntry *it = find(key);
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

  /// Adds a finding about a key, at its line or, when the key is missing, at
  /// the line of the section.
  void fail(std::string_view key, std::string message, std::string suggestion);
  /// Reports keys that were not read (unknown keys) and keys that appear twice.
  void finish();

private:
  const IniEntry *find(std::string_view key);

  const std::string File;
  const IniSection &Section;
  core::Findings &Findings;
  std::set<std::string, std::less<>> Known;
};

/// Returns the word with the smallest edit distance to `text`; empty when none
/// is close.
std::string nearestWord(std::string_view text,
                        const std::vector<std::string> &words);

} // namespace cowslipridge::config::internal
