#include "cowslipridge/http/Message.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace cowslipridge::http {

namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

int hexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

/// Decodes a name or value of a query string. A `%` that does not start a valid
/// escape sequence is kept as is.
std::string decodeQueryPart(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      decoded.push_back(' ');
      continue;
    }
    const bool escape = text[i] == '%' && i + 2 < text.size();
    const int high = escape ? hexDigit(text[i + 1]) : -1;
    const int low = escape ? hexDigit(text[i + 2]) : -1;
    if (high < 0 || low < 0) {
      decoded.push_back(text[i]);
      continue;
    }
    decoded.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return decoded;
}

} // namespace

std::optional<std::string> findHeader(const Headers &headers,
                                      std::string_view name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(), [&](const Header &h) {
        return equalsIgnoringCase(h.Name, name);
      });
  if (it == headers.end())
    return std::nullopt;
  return it->Value;
}

std::string Request::path() const { return Target.substr(0, Target.find('?')); }

std::string Request::query() const {
  const auto mark = Target.find('?');
  return mark == std::string::npos ? std::string() : Target.substr(mark + 1);
}

std::optional<std::string> findQueryParameter(std::string_view query,
                                              std::string_view name) {
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const auto equals = std::min(pair.find('='), pair.size());
    if (decodeQueryPart(pair.substr(0, equals)) != name)
      continue;
    return decodeQueryPart(pair.substr(std::min(equals + 1, pair.size())));
  }
  return std::nullopt;
}

Response makeProblem(const Problem &problem) {
  const nlohmann::json body = {
      {"type", "urn:cowslipridge:problem:" + problem.Slug},
      {"title", problem.Title},
      {"status", problem.Status},
      {"detail", problem.Detail}};
  Response response;
  response.Status = problem.Status;
  response.Fields = {{"Content-Type", "application/problem+json"}};
  // Details may quote bytes of the request, which need not be valid UTF-8.
  response.Body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

Response makeJson(int status, std::string body) {
  Response response;
  response.Status = status;
  response.Fields = {{"Content-Type", "application/json"}};
  response.Body = std::move(body);
  return response;
}

} // namespace cowslipridge::http
