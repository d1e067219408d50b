#pragma once

#include "cowslipridge/http1/HeaderFields.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// HTTP/1.1 for one event loop: parsers without I/O, a server and a client with
/// a connection pool. Parsing uses Boost.Beast, sockets use Boost.Asio.
namespace cowslipridge::http1 {

/// How the length of a message body is determined.
enum class Framing { None, Length, Chunked, UntilClose };

struct RequestHead {
  std::string Method;
  std::string Target;
  HeaderFields Fields;
  Framing Body = Framing::None;
  /// Whether the client allows to reuse the connection after this request.
  bool KeepAlive = true;
  /// False for HTTP/1.0, which has no chunked transfer coding.
  bool IsHttp11OrLater = true;
};

struct ResponseHead {
  int Status = 200;
  std::string Reason;
  HeaderFields Fields;
  Framing Body = Framing::None;
  std::uint64_t Length = 0; ///< in bytes; used with Framing::Length
  bool KeepAlive = true;
};

/// Returns the standard reason phrase of a status code.
std::string_view reasonPhrase(int status);
/// Serializes a request: its head followed by its complete body.
std::string writeRequest(const RequestHead &head, std::string_view body);
/// Serializes the head of a request whose body has this length, in bytes.
std::string writeRequestHead(const RequestHead &head, std::size_t bodyLength);
/// Serializes the head of a response. `Body` and `Length` determine its framing
/// fields.
std::string writeHead(const ResponseHead &head);
/// Serializes one chunk. Returns an empty string for empty data, since an empty
/// chunk would end the body.
std::string writeChunk(std::string_view data);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace cowslipridge::http1
