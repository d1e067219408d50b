#pragma once

#include "cowslipridge/http1/Message.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace cowslipridge::http1 {

struct RequestLimits {
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

/// Reads one request. Strict: a request whose end is ambiguous is malformed, so
/// that no second request can hide in it.
class RequestParser {
public:
  explicit RequestParser(RequestLimits limits);
  ~RequestParser();
  RequestParser(RequestParser &&) noexcept;
  RequestParser &operator=(RequestParser &&) noexcept;

  /// Takes what belongs to this request from the front of `input`.
  ParseStatus parse(std::string &input);
  [[nodiscard]] bool headDone() const;
  /// Only when headDone().
  [[nodiscard]] const RequestHead &head() const;
  /// The body as far as it was read.
  [[nodiscard]] const std::string &body() const;

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::http1
