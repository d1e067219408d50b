#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP server and client. cpprestsdk appears only in this folder's sources,
/// never in a header, because it is slow to compile.
namespace cowslipridge::http {

struct Header {
  std::string Name;
  std::string Value;
};

using Headers = std::vector<Header>;

/// The first value of a header; names compare without case.
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

/// The decoded value of one parameter of a query string.
std::optional<std::string> findQueryParameter(std::string_view query,
                                              std::string_view name);

struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;
};

/// The error body of RFC 9457.
struct Problem {
  std::string Slug;
  std::string Title;
  int Status = 500;
  std::string Detail;
};

/// An `application/problem+json` response.
Response makeProblem(const Problem &problem);
/// An `application/json` response.
Response makeJson(int status, std::string body);

} // namespace cowslipridge::http
