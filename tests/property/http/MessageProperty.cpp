#include "cowslipridge/http/Message.hpp"

#include "support/PropertyChecks.hpp"

#include <algorithm>
#include <cctype>
#include <string>

using namespace cowslipridge;
using namespace cowslipridge::http;

namespace {

constexpr int CaseCount = 10'000;

std::string encode(const std::string &text) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += Digits[byte / 16];
    encoded += Digits[byte % 16];
  }
  return encoded;
}

TEST(MessageProperty, encodedParametersSurviveARoundTrip) {
  support::expectHolds(CaseCount, [](const std::string &name,
                                     const std::string &value,
                                     const std::string &other) {
    RC_PRE(other != name);
    const std::string query = encode(other) + "=x&" + encode(name) + "=" +
                              encode(value) + "&" + encode(name) + "=last";
    RC_ASSERT(findQueryParameter(query, name) == value);
  });
}

TEST(MessageProperty, acceptsArbitraryBytesAsAQuery) {
  support::expectHolds(
      CaseCount, [](const std::string &query, const std::string &name) {
        const auto value = findQueryParameter(query, name);
        const bool bounded = !value || value->size() <= query.size();
        RC_ASSERT(bounded);
      });
}

TEST(MessageProperty, findsHeadersCaseInsensitively) {
  support::expectHolds(CaseCount, [](const std::string &name,
                                     const std::string &value) {
    std::string upper = name;
    std::transform(upper.begin(), upper.end(), upper.begin(),
                   [](unsigned char c) { return std::toupper(c); });
    const Headers headers = {{"", "empty"}, {name, value}};
    RC_ASSERT(findHeader(headers, upper) == (name.empty() ? "empty" : value));
  });
}

TEST(MessageProperty, pathAndQueryMakeUpTheTarget) {
  support::expectHolds(CaseCount, [](const std::string &target) {
    const Request request = {"GET", target, {}, ""};
    const bool mark = target.find('?') != std::string::npos;
    RC_ASSERT(request.path() + (mark ? "?" : "") + request.query() == target);
  });
}

} // namespace
