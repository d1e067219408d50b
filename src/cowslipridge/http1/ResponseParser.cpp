#include "cowslipridge/http1/ResponseParser.hpp"

#include "cowslipridge/http1/internal/FramingFields.hpp"
#include "cowslipridge/http1/internal/PushParser.hpp"

#include <limits>
#include <optional>
#include <utility>

namespace cowslipridge::http1 {

namespace {

constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;
constexpr int SwitchingProtocols = 101;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr unsigned MaxInterimResponses = 16;

} // namespace

class ResponseParser::Impl {
  using Code = boost::beast::error_code;
  using Error = boost::beast::http::error;

public:
  explicit Impl(bool headRequest) : HeadRequest(headRequest) { restart(); }

  ResponseStatus parse(std::string &input) {
    while (!HeadExtracted) {
      Defect = internal::feedHead(*Parser, Hidden, input);
      if (!Defect && !Parser->is_header_done())
        return ResponseStatus::NeedMore;
      if (!Defect)
        Defect = isInterim() ? skipInterim() : extractHead();
      if (Defect)
        return ResponseStatus::Malformed;
    }
    Defect = internal::feed(*Parser, input);
    if (Defect)
      return ResponseStatus::Malformed;
    return Parser->is_done() ? ResponseStatus::Complete
                             : ResponseStatus::NeedMore;
  }

  ResponseStatus finish() {
    if (!HeadExtracted || Head.Body != Framing::UntilClose)
      return ResponseStatus::Malformed;
    boost::beast::error_code ec;
    Parser->put_eof(ec);
    return ec ? ResponseStatus::Malformed : ResponseStatus::Complete;
  }

  std::optional<internal::PushParser<false>> Parser;
  ResponseHead Head;
  Code Defect;
  bool HeadExtracted = false;

private:
  void restart() {
    Parser.emplace();
    Hidden = {};
    Parser->header_limit(MaxResponseHeaderBytes);
    // The maximum stands for no limit: with boost::none, this version of
    // Boost.Beast rejects every body.
    Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (HeadRequest)
      Parser->skip(true);
  }

  [[nodiscard]] bool isInterim() const {
    return Parser->Status >= 100 && Parser->Status < 200 &&
           Parser->Status != SwitchingProtocols;
  }

  Code skipInterim() {
    if (internal::announcesBody(Parser->Fields))
      return Error::bad_content_length;
    restart();
    return ++InterimResponses <= MaxInterimResponses ? Code()
                                                     : Error::bad_status;
  }

  Code extractHead() {
    HeadExtracted = true;
    Head.Status = Parser->Status;
    Head.Reason = std::move(Parser->Reason);
    Head.Fields = std::move(Parser->Fields);
    Head.KeepAlive = Parser->keep_alive();
    if (Head.Status == SwitchingProtocols)
      return Error::bad_status;
    if (Head.Status == NoContent && internal::announcesBody(Head.Fields))
      return Error::bad_content_length;
    if (!internal::isFramingUnambiguous(Head.Fields, Parser->Version))
      return Head.Fields.count("Transfer-Encoding") != 0
                 ? Error::bad_transfer_encoding
                 : Error::bad_content_length;
    Head.Body = framing();
    return {};
  }

  Framing framing() {
    // What its fields say of a body belongs to another response: that to a GET,
    // or to one without condition.
    if (HeadRequest || Head.Status == NotModified || Head.Status == NoContent)
      return Framing::None;
    if (Parser->chunked())
      return Framing::Chunked;
    if (Head.Fields.count("Content-Length") != 0) {
      const auto length = Parser->content_length();
      Head.Length = length ? *length : 0;
      return Framing::Length;
    }
    return Parser->need_eof() ? Framing::UntilClose : Framing::None;
  }

  bool HeadRequest;
  internal::HiddenFields Hidden;
  unsigned InterimResponses = 0;
};

ResponseParser::ResponseParser(bool headRequest)
    : Internals(std::make_unique<Impl>(headRequest)) {}
ResponseParser::~ResponseParser() = default;

ResponseStatus ResponseParser::parse(std::string &input) {
  return Internals->parse(input);
}
ResponseStatus ResponseParser::finish() { return Internals->finish(); }
bool ResponseParser::headDone() const { return Internals->HeadExtracted; }
const ResponseHead &ResponseParser::head() const { return Internals->Head; }
std::string ResponseParser::defect() const {
  return Internals->Defect.message();
}
std::string ResponseParser::takeBody() {
  return std::exchange(Internals->Parser->Body, {});
}

} // namespace cowslipridge::http1
