#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP server and client. The public headers do not include cpprestsdk because
/// it is slow to compile.
namespace cowslipridge::http {

struct Header {
  std::string Name;
  std::string Value;
};

using Headers = std::vector<Header>;

/// Returns the first value of a header. Names are compared case-insensitively.
std::optional<std::string> findHeader(const Headers &headers,
                                      std::string_view name);

struct Request {
  std::string Method; ///< upper case
  std::string Target; ///< path and query, still percent-encoded
  Headers Fields;
  std::string Body;

  [[nodiscard]] std::string path() const;  ///< Target up to `?`
  [[nodiscard]] std::string query() const; ///< Target after `?`
};

/// Returns the decoded value of a query parameter.
std::optional<std::string> findQueryParameter(std::string_view query,
                                              std::string_view name);

struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;
};

/// Problem details as defined by RFC 9457.
struct Problem {
  std::string Slug;
  std::string Title;
  int Status = 500;
  std::string Detail;
};

/// Returns an `application/problem+json` response.
Response makeProblem(const Problem &problem);
/// Returns an `application/json` response.
Response makeJson(int status, std::string body);

} // namespace cowslipridge::http
