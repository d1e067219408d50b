#pragma once

#include "cowslipridge/http1/Message.hpp"
#include "cowslipridge/http1/internal/FieldSyntax.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <string>

namespace cowslipridge::http1::internal {

/// Collects the events of a Boost.Beast parser in data members.
template <bool IsRequest>
class PushParser final : public boost::beast::http::basic_parser<IsRequest> {
  using Base = boost::beast::http::basic_parser<IsRequest>;
  using View = boost::beast::string_view;
  using Code = boost::beast::error_code;
  using Error = boost::beast::http::error;

public:
  std::string Method;
  std::string Target;
  std::string Reason;
  int Status = 0;
  int Version = 11;    ///< 10 (HTTP/1.0) or 11 (HTTP/1.1)
  HeaderFields Fields; ///< of the head; trailers are dropped
  std::string Body;

private:
  static std::string_view toStdView(View text) {
    return {text.data(), text.size()};
  }
  static bool isStatus(int code) {
    constexpr int First = 100;
    constexpr int Last = 599;
    return code >= First && code <= Last;
  }

  void on_request_impl(boost::beast::http::verb /*verb*/, View method,
                       View target, int version, Code & /*ec*/) override {
    Version = version;
    Method = toStdView(method);
    Target = toStdView(target);
  }
  void on_response_impl(int code, View reason, int version, Code &ec) override {
    Version = version;
    Status = code;
    Reason = toStdView(reason);
    if (!isStatus(code))
      ec = Error::bad_status;
  }
  void on_field_impl(boost::beast::http::field /*field*/, View name, View value,
                     Code &ec) override {
    if (!isToken(toStdView(name)))
      ec = Error::bad_field;
    else if (!isFieldValue(toStdView(value)))
      ec = Error::bad_value;
    else if (!this->is_header_done())
      Fields.add(toStdView(name), toStdView(value));
  }
  void on_header_impl(Code & /*ec*/) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                         Code & /*ec*/) override {}
  std::size_t on_body_impl(View body, Code & /*ec*/) override {
    Body += toStdView(body);
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/, View /*extensions*/,
                            Code & /*ec*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, View body,
                                 Code & /*ec*/) override {
    Body += toStdView(body);
    return body.size();
  }
  void on_finish_impl(Code & /*ec*/) override {}
};

/// Parses as much of `input` as the parser accepts, until `isDone` returns
/// true. Returns the number of bytes that were parsed.
template <bool IsRequest, typename Predicate>
std::size_t put(PushParser<IsRequest> &parser, std::string_view input,
                Predicate isDone, boost::beast::error_code &ec) {
  std::size_t consumed = 0;
  while (consumed < input.size() && !isDone()) {
    const std::size_t n =
        parser.put(boost::asio::const_buffer(input.data() + consumed,
                                             input.size() - consumed),
                   ec);
    consumed += n;
    if (ec || n == 0)
      break;
  }
  if (ec == boost::beast::http::error::need_more)
    ec = {};
  return consumed;
}

/// Parses the head of a response, if all of it has arrived, and nothing behind
/// it. Removes the parsed bytes.
inline boost::beast::error_code
feedHead(PushParser<false> &parser, HiddenFields &hidden, std::string &input) {
  boost::beast::error_code ec;
  parser.eager(false);
  const std::size_t consumed = put(
      parser, input, [&] { return parser.is_header_done(); }, ec);
  if (!ec && hidden.areIn(std::string_view(input).substr(0, consumed)))
    ec = boost::beast::http::error::bad_obs_fold;
  input.erase(0, consumed);
  return ec;
}

/// Parses all that belongs to the message and removes the parsed bytes.
template <bool IsRequest>
boost::beast::error_code feed(PushParser<IsRequest> &parser,
                              std::string &input) {
  boost::beast::error_code ec;
  parser.eager(true);
  const std::size_t consumed = put(
      parser, input, [&] { return parser.is_done(); }, ec);
  input.erase(0, consumed);
  return ec;
}

} // namespace cowslipridge::http1::internal
