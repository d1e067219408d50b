#include "cowslipridge/config/internal/IniText.hpp"

#include <ini.h>

#include <algorithm>

namespace cowslipridge::config::internal {

namespace {

constexpr std::string_view Blanks = " \t\r\v\f";
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

// inih needs space for a carriage return, a line feed and the terminator.
constexpr std::size_t LineOverhead = 3;

std::string_view trimFront(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(Blanks);
  return begin == std::string_view::npos ? "" : text.substr(begin);
}

bool isPrintable(const std::string &text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

/// Passes the text to inih line by line and collects the entries, so that each
/// entry and each finding has its line number.
class Reader {
public:
  Reader(std::string_view text, IniDocument &document, core::Findings &findings)
      : Rest(text), Document(document), Findings(findings) {
    if (Rest.starts_with(ByteOrderMark))
      Rest.remove_prefix(ByteOrderMark.size());
  }

  void run() {
    ini_parse_stream(&readLine, this, &handleEntry, this);
    reportUnparsedLine();
  }

private:
  static char *readLine(char *buf, int size, void *self) {
    return static_cast<Reader *>(self)->next(buf,
                                             static_cast<std::size_t>(size));
  }

  static int handleEntry(void *self, const char * /*section*/, const char *key,
                         const char *value) {
    static_cast<Reader *>(self)->onEntry(key, value);
    return 1;
  }

  char *next(char *buf, std::size_t size) {
    reportUnparsedLine();
    if (Rest.empty())
      return nullptr;
    const std::string_view line = nextLine();
    const std::string_view shown = prepare(line, size);
    shown.copy(buf, shown.size());
    buf[shown.size()] = '\0';
    return buf;
  }

  std::string_view nextLine() {
    ++Line;
    const std::size_t end = std::min(Rest.find('\n'), Rest.size());
    const std::string_view line = Rest.substr(0, end);
    Rest.remove_prefix(std::min(end + 1, Rest.size()));
    return line;
  }

  /// Determines the kind of the line and returns the text to pass to inih;
  /// empty for comments, section titles and invalid lines.
  std::string_view prepare(std::string_view line, std::size_t size) {
    std::string_view body = trimFront(line);
    Indented = body.size() < line.size();
    ExpectsEntry = false;
    if (body.empty() || body.front() == ';' || body.front() == '#')
      return {};
    if (body.find('\0') != std::string_view::npos) {
      fail("the line contains a NUL byte", "text");
      return {};
    }
    if (line.size() + LineOverhead > size) {
      fail("the line is longer than " + std::to_string(size - LineOverhead) +
               " bytes",
           "the rest of a list on further lines that begin with a blank");
      return {};
    }
    if (body.front() == '[') {
      openSection(body);
      return {};
    }
    ExpectsEntry = true;
    return line;
  }

  void openSection(std::string_view body) {
    const std::size_t end = body.find(']');
    if (end == std::string_view::npos) {
      fail("the section name has no closing bracket",
           std::string(body.substr(0, body.find_last_not_of(Blanks) + 1)) +
               "]");
      return;
    }
    const std::string_view tail = trimFront(body.substr(end + 1));
    if (!tail.empty() && tail.front() != ';' && tail.front() != '#')
      fail("text follows the section name", "it on a line of its own");
    Document.Sections.push_back(
        {std::string(body.substr(1, end - 1)), Line, {}});
  }

  void onEntry(const char *key, const char *value) {
    ExpectsEntry = false;
    IniSection &section = current();
    if (!isPrintable(value) || !isPrintable(key)) {
      fail("the entry contains bytes that are not printable ASCII",
           "plain ASCII");
      return;
    }
    if (*key == '\0') {
      fail("the line has no key before '='", "key = value");
      return;
    }
    if (Indented && !section.Entries.empty()) {
      append(section.Entries.back().Value, value);
      return;
    }
    section.Entries.push_back({key, value, Line});
  }

  static void append(std::string &list, const char *item) {
    if (!list.empty())
      list += list.back() == ',' ? " " : ", ";
    list += item;
  }

  /// Reports the previous line when inih did not parse it as an entry.
  void reportUnparsedLine() {
    if (ExpectsEntry)
      fail("the line is neither a section nor an entry", "key = value");
    ExpectsEntry = false;
  }

  /// Returns the section of the current entry. Entries before the first section
  /// go to an unnamed one, which the parsers report as unknown.
  IniSection &current() {
    if (Document.Sections.empty())
      Document.Sections.push_back({"", Line, {}});
    return Document.Sections.back();
  }

  void fail(std::string message, std::string suggestion) {
    Findings.add({.File = Document.File,
                  .Line = Line,
                  .Section = Document.Sections.empty()
                                 ? ""
                                 : Document.Sections.back().Name,
                  .Key = "",
                  .Message = std::move(message),
                  .Suggestion = std::move(suggestion)});
  }

  std::string_view Rest;
  IniDocument &Document;
  core::Findings &Findings;
  int Line = 0;
  bool Indented = false;
  bool ExpectsEntry = false;
};

} // namespace

IniDocument readIni(std::string_view text, const std::string &file,
                    core::Findings &findings) {
  IniDocument document;
  document.File = file;
  Reader(text, document, findings).run();
  return document;
}

} // namespace cowslipridge::config::internal
