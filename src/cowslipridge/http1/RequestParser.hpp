#pragma once

#include "cowslipridge/http1/Message.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace cowslipridge::http1 {

struct RequestLimits {
  /// Of the head; also of each chunk-size line and of the trailers.
  std::size_t MaxHeaderBytes = 16UL * 1024;
  std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
};

enum class ParseStatus {
  NeedMore,
  Complete,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge
};

/// Parses one request. Rejects requests with ambiguous framing as malformed, to
/// prevent request smuggling.
class RequestParser {
public:
  explicit RequestParser(RequestLimits limits);
  ~RequestParser();
  RequestParser(RequestParser &&) noexcept;
  RequestParser &operator=(RequestParser &&) noexcept;

  /// Consumes the bytes of this request from the front of `input`.
  ParseStatus parse(std::string &input);
  [[nodiscard]] bool headDone() const;
  /// Requires headDone().
  [[nodiscard]] const RequestHead &head() const;
  /// Returns the part of the body that was read so far.
  [[nodiscard]] const std::string &body() const;
  /// Makes room for a body of this size, so that it is not copied as it grows.
  void reserveBody(std::size_t bytes);
  /// Moves the body out of the parser.
  std::string takeBody();
  /// Returns the bytes of memory that the head takes up.
  [[nodiscard]] std::size_t heldHeadBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::http1
