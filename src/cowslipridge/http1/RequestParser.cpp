#include "cowslipridge/http1/RequestParser.hpp"

#include "cowslipridge/http1/internal/FramingFields.hpp"
#include "cowslipridge/http1/internal/PushParser.hpp"

#include <utility>

namespace cowslipridge::http1 {

namespace http = boost::beast::http;

class RequestParser::Impl {
public:
  explicit Impl(RequestLimits limits) : MaxHeaderBytes(limits.MaxHeaderBytes) {
    Parser.header_limit(static_cast<std::uint32_t>(limits.MaxHeaderBytes));
    Parser.body_limit(limits.MaxBodyBytes);
  }

  ParseStatus parse(std::string &input) {
    const auto ec = internal::feed(Parser, input);
    if (ec)
      return statusOf(ec);
    if (Parser.is_header_done() && !HeadExtracted && !extractHead())
      return ParseStatus::Malformed;
    if (Parser.is_done())
      return ParseStatus::Complete;
    // Of a body, only chunk-size lines and trailers stay unparsed until they
    // are complete. The library bounds neither.
    return HeadExtracted && input.size() > MaxHeaderBytes
               ? ParseStatus::HeaderTooLarge
               : ParseStatus::NeedMore;
  }

  internal::PushParser<true> Parser;
  RequestHead Head;
  bool HeadExtracted = false;

private:
  const std::size_t MaxHeaderBytes;

  static ParseStatus statusOf(const boost::beast::error_code &ec) {
    if (ec == http::error::header_limit)
      return ParseStatus::HeaderTooLarge;
    if (ec == http::error::body_limit)
      return ParseStatus::BodyTooLarge;
    return ParseStatus::Malformed;
  }

  bool extractHead() {
    HeadExtracted = true;
    Head.Method = std::move(Parser.Method);
    Head.Target = std::move(Parser.Target);
    Head.Fields = std::move(Parser.Fields);
    Head.KeepAlive = Parser.keep_alive();
    Head.IsHttp11OrLater = Parser.Version >= 11;
    Head.Body = framing();
    return isUnambiguous();
  }

  [[nodiscard]] Framing framing() const {
    if (Parser.chunked())
      return Framing::Chunked;
    return Head.Fields.count("Content-Length") != 0 ? Framing::Length
                                                    : Framing::None;
  }

  // Callers have no need to repeat a length, and runners may read two of them
  // in another way.
  [[nodiscard]] bool repeatsLength() const {
    constexpr std::string_view ContentLength = "Content-Length";
    return Head.Fields.count(ContentLength) > 1 ||
           !internal::isNumber(Head.Fields.find(ContentLength).value_or("0"));
  }

  [[nodiscard]] bool isUnambiguous() const {
    if (!internal::isFramingUnambiguous(Head.Fields, Parser.Version) ||
        repeatsLength())
      return false;
    if (Head.IsHttp11OrLater && Head.Fields.count("Host") != 1)
      return false;
    return !Head.Target.empty() && Head.Target.front() == '/';
  }
};

RequestParser::RequestParser(RequestLimits limits)
    : Internals(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser &&) noexcept = default;
RequestParser &RequestParser::operator=(RequestParser &&) noexcept = default;

ParseStatus RequestParser::parse(std::string &input) {
  return Internals->parse(input);
}
bool RequestParser::headDone() const { return Internals->HeadExtracted; }
const RequestHead &RequestParser::head() const { return Internals->Head; }
void RequestParser::reserveBody(std::size_t bytes) {
  Internals->Parser.Body.reserve(bytes);
}
std::string RequestParser::takeBody() {
  return std::exchange(Internals->Parser.Body, {});
}
std::size_t RequestParser::heldHeadBytes() const {
  const RequestHead &head = Internals->Head;
  return head.Method.capacity() + head.Target.capacity() +
         head.Fields.heldBytes();
}
const std::string &RequestParser::body() const {
  return Internals->Parser.Body;
}

} // namespace cowslipridge::http1
