#include "cowslipridge/config/internal/SectionReader.hpp"

#include "cowslipridge/config/internal/Names.hpp"
#include "cowslipridge/config/internal/Units.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cowslipridge::config::internal {

namespace {

constexpr std::size_t MaxSuggestionEdits = 3;

std::string trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(' ');
  if (begin == std::string_view::npos)
    return {};
  const std::size_t end = text.find_last_not_of(' ');
  return std::string(text.substr(begin, end - begin + 1));
}

std::string formatRange(const std::string &min, const std::string &max) {
  return "a value from " + min + " to " + max;
}

std::string formatMillis(core::Millis length) {
  return std::to_string(length.count()) + "ms";
}

std::string formatDecimal(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.')
    text.pop_back();
  return text;
}

std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
    }
  }
  return row[b.size()];
}

} // namespace

SectionReader::SectionReader(std::string file, const IniSection &section,
                             core::Findings &findings)
    : File(std::move(file)), Section(section), Findings(findings) {}

const IniEntry *SectionReader::find(std::string_view key) {
  Known.emplace(key);
  const auto it = std::find_if(Section.Entries.begin(), Section.Entries.end(),
                               [&](const IniEntry &x) { return x.Key == key; });
  return it == Section.Entries.end() ? nullptr : &*it;
}

bool SectionReader::has(std::string_view key) { return find(key) != nullptr; }

std::set<std::string> SectionReader::keys() const {
  std::set<std::string> names;
  for (const IniEntry &it : Section.Entries)
    names.insert(it.Key);
  return names;
}

std::string SectionReader::requireText(std::string_view key,
                                       const std::string &example) {
  const IniEntry *it = find(key);
  if (it != nullptr && !it->Value.empty())
    return it->Value;
  fail(key, it == nullptr ? "the key is missing" : "the value is empty",
       std::string(key) + " = " + example);
  return {};
}

std::string SectionReader::requireName(std::string_view key,
                                       const std::string &example) {
  std::string name = requireText(key, example);
  if (!name.empty() && !isName(name))
    fail(key, "'" + name + "' is not a name", std::string(NameRule));
  return name;
}

std::string SectionReader::text(std::string_view key,
                                const std::string &fallback) {
  const IniEntry *it = find(key);
  return it == nullptr ? fallback : it->Value;
}

std::uint64_t SectionReader::count(std::string_view key, std::uint64_t fallback,
                                   std::uint64_t min, std::uint64_t max) {
  const IniEntry *it = find(key);
  if (it == nullptr)
    return fallback;
  const auto number = parseCount(it->Value);
  if (number && *number >= min && *number <= max)
    return *number;
  fail(key,
       number ? "the number is out of range"
              : "'" + it->Value + "' is not a whole number",
       formatRange(std::to_string(min), std::to_string(max)));
  return fallback;
}

double SectionReader::decimal(std::string_view key, double fallback, double min,
                              double max) {
  const IniEntry *it = find(key);
  if (it == nullptr)
    return fallback;
  const auto number = parseDecimal(it->Value);
  if (number && *number >= min && *number <= max)
    return *number;
  fail(key,
       number ? "the number is out of range"
              : "'" + it->Value + "' is not a number",
       formatRange(formatDecimal(min), formatDecimal(max)));
  return fallback;
}

core::Millis SectionReader::duration(std::string_view key,
                                     core::Millis fallback, core::Millis min,
                                     core::Millis max) {
  const IniEntry *it = find(key);
  if (it == nullptr)
    return fallback;
  const auto length = parseDuration(it->Value);
  if (!length) {
    fail(key, "'" + it->Value + "' is not a duration",
         "a number with ms, s, min or h, such as 30s");
    return fallback;
  }
  if (*length >= min && *length <= max)
    return *length;
  fail(key, "the duration is out of range",
       formatRange(formatMillis(min), formatMillis(max)));
  return fallback;
}

std::size_t SectionReader::size(std::string_view key, std::size_t fallback,
                                std::size_t min, std::size_t max) {
  const IniEntry *it = find(key);
  if (it == nullptr)
    return fallback;
  const auto bytes = parseSize(it->Value);
  if (!bytes) {
    fail(key, "'" + it->Value + "' is not a size",
         "a whole number with B, KiB, MiB or GiB, such as 8MiB");
    return fallback;
  }
  if (*bytes >= min && *bytes <= max)
    return *bytes;
  fail(key, "the size is out of range",
       formatRange(std::to_string(min) + "B", std::to_string(max) + "B"));
  return fallback;
}

bool SectionReader::flag(std::string_view key, bool fallback) {
  static constexpr Choice<bool> Words[] = {{"yes", true}, {"no", false}};
  return choice(key, fallback, Words);
}

std::vector<std::string> SectionReader::list(std::string_view key) {
  const IniEntry *it = find(key);
  std::vector<std::string> items;
  if (it == nullptr)
    return items;
  std::string_view rest = it->Value;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    std::string item = trim(rest.substr(0, comma));
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    if (item.empty())
      fail(key, "the list has an empty item", "items separated by one comma");
    else
      items.push_back(std::move(item));
  }
  if (items.empty())
    fail(key, "the list is empty", "at least one item, or no such key");
  return items;
}

void SectionReader::fail(std::string_view key, std::string message,
                         std::string suggestion) {
  const IniEntry *it = find(key);
  Findings.add({.File = File,
                .Line = it == nullptr ? Section.Line : it->Line,
                .Section = Section.Name,
                .Key = std::string(key),
                .Message = std::move(message),
                .Suggestion = std::move(suggestion)});
}

void SectionReader::finish() {
  const std::vector<std::string> words(Known.begin(), Known.end());
  std::set<std::string> seen;
  for (const IniEntry &it : Section.Entries) {
    const bool unknown = !Known.contains(it.Key);
    if (!unknown && seen.insert(it.Key).second)
      continue;
    Findings.add(
        {.File = File,
         .Line = it.Line,
         .Section = Section.Name,
         .Key = it.Key,
         .Message =
             unknown ? "unknown key" : "the key appears twice in this section",
         .Suggestion = unknown ? nearestWord(it.Key, words) : "it once"});
  }
}

std::string nearestWord(std::string_view text,
                        const std::vector<std::string> &words) {
  std::string nearest;
  std::size_t fewest = MaxSuggestionEdits + 1;
  for (const std::string &word : words) {
    const std::size_t edits = editDistance(text, word);
    if (edits < fewest && edits < word.size()) {
      fewest = edits;
      nearest = word;
    }
  }
  return nearest;
}

} // namespace cowslipridge::config::internal
