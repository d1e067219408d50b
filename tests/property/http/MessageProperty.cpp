#include "cowslipridge/http/Message.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cctype>
#include <string>

using namespace cowslipridge::http;

namespace {

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

RC_GTEST_PROP(MessageProperty, encodedParametersDecodeToThemselves,
              (const std::string &name, const std::string &value,
               const std::string &other)) {
  RC_PRE(other != name);
  const std::string query = encode(other) + "=x&" + encode(name) + "=" +
                            encode(value) + "&" + encode(name) + "=last";
  RC_ASSERT(findQueryParameter(query, name) == value);
}

RC_GTEST_PROP(MessageProperty, anyBytesAreAcceptedAsAQuery,
              (const std::string &query, const std::string &name)) {
  const auto value = findQueryParameter(query, name);
  RC_ASSERT(!value || value->size() <= query.size());
}

RC_GTEST_PROP(MessageProperty, headersAreFoundInAnyCase,
              (const std::string &name, const std::string &value)) {
  std::string upper = name;
  std::transform(upper.begin(), upper.end(), upper.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  const Headers headers = {{"", "empty"}, {name, value}};
  RC_ASSERT(findHeader(headers, upper) == (name.empty() ? "empty" : value));
}

RC_GTEST_PROP(MessageProperty, pathAndQueryMakeUpTheTarget,
              (const std::string &target)) {
  const Request request = {"GET", target, {}, ""};
  const bool mark = target.find('?') != std::string::npos;
  RC_ASSERT(request.path() + (mark ? "?" : "") + request.query() == target);
}

} // namespace
