#include "cowslipridge/http/internal/RequestReader.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/http/internal/Tasks.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <memory>
#include <string>
#include <utility>

namespace cowslipridge::http::internal {

namespace {

/// Bytes of names and values of all header fields together.
constexpr std::size_t MaxHeaderBytes = std::size_t{32} * 1024;
/// Bytes that are read from a body at a time.
constexpr std::size_t PieceBytes = std::size_t{16} * 1024;
/// Digits of the greatest accepted Content-Length; the library takes longer
/// numbers for 0 and would read the body as the next request.
constexpr std::size_t MaxLengthDigits = 15;

bool isLength(const std::string &text) {
  return !text.empty() && text.size() <= MaxLengthDigits &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isdigit(c) != 0; });
}

/// Reads one body piece by piece; keeps itself alive in its continuations.
class BodyReader : public std::enable_shared_from_this<BodyReader> {
public:
  BodyReader(const web::http::http_request &message, std::size_t maxBytes,
             std::function<void(core::Result<Request>)> done)
      : Message(message), Source(message.body().streambuf()),
        MaxBytes(maxBytes), Done(std::move(done)) {}

  void readOn() {
    while (true) {
      auto piece = Source.getn(Piece.data(), Piece.size());
      if (!piece.is_done()) {
        auto self = shared_from_this();
        piece.then([self](const pplx::task<std::size_t> &read) {
          if (self->take(read))
            self->readOn();
        });
        return;
      }
      if (!take(piece))
        return;
    }
  }

private:
  /// Returns whether more has to be read.
  bool take(const pplx::task<std::size_t> &read) {
    std::size_t size = 0;
    try {
      size = read.get();
    } catch (const std::exception &) {
      Done(core::Errc::Malformed);
      return false;
    }
    if (Body.size() + size > MaxBytes) {
      refuse();
      return false;
    }
    Body.append(reinterpret_cast<const char *>(Piece.data()), size);
    if (size != 0)
      return true;
    finish();
    return false;
  }

  void refuse() {
    discardBody(Message);
    Done(core::Errc::TooLarge);
  }

  void finish() {
    Request request;
    request.Method = Message.method();
    request.Target = Message.request_uri().resource().to_string();
    for (const auto &[name, value] : Message.headers())
      request.Fields.push_back({name, value});
    request.Body = std::move(Body);
    Done(std::move(request));
  }

  web::http::http_request Message;
  concurrency::streams::streambuf<std::uint8_t> Source;
  std::size_t MaxBytes;
  std::function<void(core::Result<Request>)> Done;
  std::array<std::uint8_t, PieceBytes> Piece = {};
  std::string Body;
};

} // namespace

std::error_code checkHead(const web::http::http_request &message) {
  std::size_t size = message.request_uri().to_string().size();
  for (const auto &[name, value] : message.headers())
    size += name.size() + value.size();
  if (size > MaxHeaderBytes)
    return core::Errc::TooLarge;

  // The library hands over a head without a version, cut at its end.
  if (message.http_version().major != 1)
    return core::Errc::Malformed;

  std::string length;
  const bool hasLength = message.headers().match("Content-Length", length);
  std::string coding;
  const bool hasCoding = message.headers().match("Transfer-Encoding", coding);
  if (hasLength && hasCoding)
    return core::Errc::Malformed;
  if (hasLength && !isLength(length))
    return core::Errc::Malformed;
  if (hasCoding && coding != "chunked")
    return core::Errc::Malformed;
  return {};
}

// The library sends no response before it has received the whole body. A
// source without a reader drops the rest instead of keeping it in memory.
void discardBody(const web::http::http_request &message) {
  ignoreFailure(message.body().streambuf().close(std::ios_base::in));
}

void readRequest(const web::http::http_request &message,
                 std::size_t maxBodyBytes,
                 std::function<void(core::Result<Request>)> done) {
  std::make_shared<BodyReader>(message, maxBodyBytes, std::move(done))
      ->readOn();
}

} // namespace cowslipridge::http::internal
