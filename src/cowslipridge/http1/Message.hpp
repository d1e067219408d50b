#pragma once

#include "cowslipridge/http1/HeaderFields.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// HTTP/1.1 for one event loop: parsers without I/O, a server and a pooled
/// client. The parsing is Boost.Beast's, the sockets are Boost.Asio's.
namespace cowslipridge::http1 {

/// How the end of a body is found.
enum class Framing { None, Length, Chunked, UntilClose };

struct RequestHead {
  std::string Method;
  std::string Target;
  HeaderFields Fields;
  Framing Body = Framing::None;
  bool KeepAlive = true;       ///< the sender wants to use the connection again
  bool IsHttp11OrLater = true; ///< false: HTTP/1.0, which knows no chunks
};

struct ResponseHead {
  int Status = 200;
  std::string Reason;
  HeaderFields Fields;
  Framing Body = Framing::None;
  std::uint64_t Length = 0; ///< with Framing::Length
  bool KeepAlive = true;
};

/// The standard reason phrase of a status.
std::string_view reasonPhrase(int status);
/// The head of a request with its whole body behind it.
std::string writeRequest(const RequestHead &head, std::string_view body);
/// The head of a response; its framing fields follow from `Body` and `Length`.
std::string writeHead(const ResponseHead &head);
/// One chunk; nothing for empty data, which would end the body.
std::string writeChunk(std::string_view data);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace cowslipridge::http1
