#include "cowslipridge/http1/Message.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>

namespace cowslipridge::http1 {

namespace {

void appendFields(std::string &text, const HeaderFields &fields) {
  for (const HeaderField it : fields) {
    text += it.Name;
    text += ": ";
    text += it.Value;
    text += "\r\n";
  }
}

// A status has three digits.
std::string statusCode(int status) {
  constexpr std::size_t Digits = 3;
  const std::string text = std::to_string(status);
  return std::string(Digits - std::min(Digits, text.size()), '0') + text;
}

bool needsLength(const RequestHead &head, std::size_t bodyLength) {
  return bodyLength != 0 || head.Body != Framing::None;
}

} // namespace

std::string_view reasonPhrase(int status) {
  const auto known =
      boost::beast::http::int_to_status(static_cast<unsigned>(status));
  const auto text = boost::beast::http::obsolete_reason(known);
  return {text.data(), text.size()};
}

std::string writeRequest(const RequestHead &head, std::string_view body) {
  std::string text = writeRequestHead(head, body.size());
  text += body;
  return text;
}

std::string writeRequestHead(const RequestHead &head, std::size_t bodyLength) {
  constexpr std::size_t UsualLength = 512;
  std::string text;
  text.reserve(UsualLength);
  text += head.Method + " " + head.Target + " HTTP/1.1\r\n";
  appendFields(text, head.Fields);
  if (needsLength(head, bodyLength))
    text += "Content-Length: " + std::to_string(bodyLength) + "\r\n";
  text += "\r\n";
  return text;
}

std::string writeHead(const ResponseHead &head) {
  std::string text = "HTTP/1.1 " + statusCode(head.Status) + " ";
  text += head.Reason.empty() ? std::string(reasonPhrase(head.Status))
                              : head.Reason;
  text += "\r\n";
  appendFields(text, head.Fields);
  if (head.Body == Framing::Length)
    text += "Content-Length: " + std::to_string(head.Length) + "\r\n";
  if (head.Body == Framing::Chunked)
    text += "Transfer-Encoding: chunked\r\n";
  if (!head.KeepAlive)
    text += "Connection: close\r\n";
  text += "\r\n";
  return text;
}

std::string writeChunk(std::string_view data) {
  if (data.empty())
    return {};
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 data.size(), 16);
  std::string text(digits.data(), end.ptr);
  text += "\r\n";
  text += data;
  text += "\r\n";
  return text;
}

} // namespace cowslipridge::http1
