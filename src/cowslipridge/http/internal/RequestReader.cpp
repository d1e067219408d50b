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

/// Maximum total size of the request target and of all header names and values.
constexpr std::size_t MaxHeaderBytes = std::size_t{32} * 1024;
/// Number of body bytes requested per read.
constexpr std::size_t ReadSizeBytes = std::size_t{16} * 1024;
/// Maximum digits of an accepted Content-Length. cpprestsdk parses longer
/// numbers as 0 and would read the body as the next request.
constexpr std::size_t MaxLengthDigits = 15;

bool isLength(const std::string &text) {
  return !text.empty() && text.size() <= MaxLengthDigits &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isdigit(c) != 0; });
}

/// Reads one body in blocks. Its continuations keep it alive.
class BodyReader : public std::enable_shared_from_this<BodyReader> {
public:
  BodyReader(const web::http::http_request &message, std::size_t maxBytes,
             std::function<void(core::Result<Request>)> done)
      : Message(message), Source(message.body().streambuf()),
        MaxBytes(maxBytes), Done(std::move(done)) {}

  void readNext() {
    while (true) {
      auto pending = Source.getn(Buffer.data(), Buffer.size());
      if (!pending.is_done()) {
        auto self = shared_from_this();
        pending.then([self](const pplx::task<std::size_t> &read) {
          if (self->handleRead(read))
            self->readNext();
        });
        return;
      }
      if (!handleRead(pending))
        return;
    }
  }

private:
  /// Appends the bytes read. Returns whether to continue reading.
  bool handleRead(const pplx::task<std::size_t> &read) {
    std::size_t size = 0;
    try {
      size = read.get();
    } catch (const std::exception &) {
      Done(core::Errc::Malformed);
      return false;
    }
    if (Body.size() + size > MaxBytes) {
      reject();
      return false;
    }
    Body.append(reinterpret_cast<const char *>(Buffer.data()), size);
    if (size != 0)
      return true;
    finish();
    return false;
  }

  void reject() {
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
  std::array<std::uint8_t, ReadSizeBytes> Buffer = {};
  std::string Body;
};

} // namespace

std::error_code checkHead(const web::http::http_request &message) {
  std::size_t size = message.request_uri().to_string().size();
  for (const auto &[name, value] : message.headers())
    size += name.size() + value.size();
  if (size > MaxHeaderBytes)
    return core::Errc::TooLarge;

  // cpprestsdk accepts a request line without a version and truncates it.
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

// cpprestsdk sends no response before it has received the complete body.
// Closing the read side discards the rest instead of buffering it in memory.
void discardBody(const web::http::http_request &message) {
  ignoreFailure(message.body().streambuf().close(std::ios_base::in));
}

void readRequest(const web::http::http_request &message,
                 std::size_t maxBodyBytes,
                 std::function<void(core::Result<Request>)> done) {
  std::make_shared<BodyReader>(message, maxBodyBytes, std::move(done))
      ->readNext();
}

} // namespace cowslipridge::http::internal
