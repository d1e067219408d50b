#include "cowslipridge/observe/TimelineView.hpp"

#include "cowslipridge/observe/TimelineMerge.hpp"

#include <array>
#include <ctime>

namespace cowslipridge::observe {

namespace {

constexpr std::int64_t MillisPerSecond = 1'000;

constexpr std::string_view PageHead =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>cowslipridge time line</title><style>"
    "body{font:14px sans-serif}table{border-collapse:collapse}"
    "td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ddd}"
    "tr.warning{background:#fff3cd}tr.error{background:#f8d7da}"
    "tr:target{outline:2px solid #06c}"
    "</style></head><body><table>\n"
    "<tr><th>time (UTC)</th><th>instance</th><th>event</th>"
    "<th>generation</th><th>request</th><th>version</th><th>detail</th>"
    "<th>cause</th></tr>\n";
constexpr std::string_view PageTail = "</table></body></html>\n";

std::string showTime(core::Millis at) {
  const std::time_t seconds = at.count() / MillisPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, sizeof("YYYY-mm-ddTHH:MM:SS")> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::int64_t rest =
      (at.count() % MillisPerSecond + MillisPerSecond) % MillisPerSecond;
  const std::string digits = std::to_string(MillisPerSecond + rest).substr(1);
  return std::string(date.data()) + "." + digits + "Z";
}

std::string escapeHtml(const std::string &text) {
  std::string safe;
  for (const char c : text) {
    switch (c) {
    case '<':
      safe += "&lt;";
      break;
    case '>':
      safe += "&gt;";
      break;
    case '&':
      safe += "&amp;";
      break;
    case '"':
      safe += "&quot;";
      break;
    default:
      safe += c;
    }
  }
  return safe;
}

/// Replaces control characters, so that text from the network cannot send
/// escape sequences to the terminal.
std::string escapeControls(const std::string &text) {
  std::string safe;
  for (const char c : text)
    safe += c >= 0 && c < ' ' ? '?' : c;
  return safe;
}

std::string_view rowClass(Severity level) {
  switch (level) {
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    break;
  }
  return "error";
}

std::string cell(const std::string &html) { return "<td>" + html + "</td>"; }

std::string showRow(const Event &event) {
  const CatalogueEntry &entry = describe(event.Number);
  const std::string id = escapeHtml(eventIdOf(event));
  const std::string cause = escapeHtml(event.Cause);
  std::string row = "<tr id=\"" + id + "\" class=\"";
  row += rowClass(entry.Level);
  row += "\">" + cell(showTime(event.At));
  row += cell(id);
  row += cell(std::to_string(static_cast<int>(event.Number)) + " " +
              std::string(entry.Name));
  row += cell(std::to_string(event.Configuration.value()));
  row += cell(escapeHtml(event.Request.str()));
  row += cell(escapeHtml(event.Version.str()));
  row += cell(escapeHtml(event.Detail));
  row +=
      cell(cause.empty() ? "" : "<a href=\"#" + cause + "\">" + cause + "</a>");
  return row + "</tr>\n";
}

std::string showLine(const Event &event) {
  std::string line = showTime(event.At) + " " + eventIdOf(event) + " ";
  line += std::to_string(static_cast<int>(event.Number)) + " ";
  line += describe(event.Number).Name;
  line += " generation=" + std::to_string(event.Configuration.value());
  if (!event.Request.empty())
    line += " request=" + event.Request.str();
  if (!event.Version.empty())
    line += " version=" + event.Version.str();
  if (!event.Detail.empty())
    line += " " + event.Detail;
  if (!event.Cause.empty())
    line += " <- " + event.Cause;
  return escapeControls(line) + "\n";
}

} // namespace

std::string showTimelineText(const std::vector<Event> &ordered) {
  std::string text;
  for (const Event &it : ordered)
    text += showLine(it);
  return text;
}

std::string showTimelineHtml(const std::vector<Event> &ordered) {
  std::string page(PageHead);
  for (const Event &it : ordered)
    page += showRow(it);
  page += PageTail;
  return page;
}

} // namespace cowslipridge::observe
