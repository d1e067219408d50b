#include "cowslipridge/http/internal/BaseUrl.hpp"

#include "cowslipridge/core/Error.hpp"

#include <algorithm>
#include <string_view>

namespace cowslipridge::http::internal {

namespace {

constexpr std::string_view Scheme = "http://";
constexpr std::string_view Digits = "0123456789";
constexpr std::size_t MaxPortDigits = 5;

bool isVisible(char c) { return c > ' ' && c <= '~'; }

bool isPort(std::string_view text) {
  constexpr unsigned long Largest = 65'535;
  return !text.empty() && text.size() <= MaxPortDigits &&
         text.find_first_not_of(Digits) == std::string_view::npos &&
         std::stoul(std::string(text)) <= Largest;
}

/// A host and what follows it, which is empty or begins with a colon.
struct SplitAuthority {
  std::string_view Host;
  std::string_view Rest;
};

// A host that holds colons stands in brackets.
SplitAuthority split(std::string_view authority) {
  if (!authority.starts_with('[')) {
    const std::size_t end = std::min(authority.find(':'), authority.size());
    return {authority.substr(0, end), authority.substr(end)};
  }
  const std::size_t end = authority.find(']');
  if (end == std::string_view::npos)
    return {};
  return {authority.substr(1, end - 1), authority.substr(end + 1)};
}

} // namespace

std::string BaseUrl::authority() const {
  const bool isIpv6 = Host.find(':') != std::string::npos;
  return (isIpv6 ? "[" + Host + "]" : Host) + ":" + Port;
}

core::Result<BaseUrl> parseBaseUrl(const std::string &text) {
  std::string_view rest = text;
  if (!rest.starts_with(Scheme) || !std::ranges::all_of(rest, isVisible))
    return core::Errc::Malformed;
  rest.remove_prefix(Scheme.size());
  BaseUrl url;
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  url.Path = rest.substr(slash);
  if (url.Path.ends_with('/'))
    url.Path.pop_back();
  const SplitAuthority authority = split(rest.substr(0, slash));
  url.Host = authority.Host;
  if (authority.Rest.starts_with(':'))
    url.Port = authority.Rest.substr(1);
  else if (!authority.Rest.empty())
    return core::Errc::Malformed;
  if (url.Host.empty() || !isPort(url.Port))
    return core::Errc::Malformed;
  return url;
}

bool isTarget(const std::string &text) {
  return text.starts_with('/') && std::ranges::all_of(text, isVisible);
}

} // namespace cowslipridge::http::internal
