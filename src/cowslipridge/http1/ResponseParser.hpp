#pragma once

#include "cowslipridge/http1/Message.hpp"

#include <memory>
#include <string>

namespace cowslipridge::http1 {

enum class ResponseStatus { NeedMore, Complete, Malformed };

/// Parses one final response; skips interim responses (1xx).
class ResponseParser {
public:
  /// `headRequest`: the response is to a HEAD request and has no body.
  explicit ResponseParser(bool headRequest);
  ~ResponseParser();

  /// Consumes the bytes of this response from the front of `input`.
  ResponseStatus parse(std::string &input);
  /// Handles the end of the stream without a reset: completes a body that is
  /// delimited by the end of the connection.
  ResponseStatus finish();
  [[nodiscard]] bool headDone() const;
  /// Requires headDone().
  [[nodiscard]] const ResponseHead &head() const;
  /// Returns the part of the body that was read since the last call.
  std::string takeBody();
  /// Returns what is wrong with a malformed response, for the log.
  [[nodiscard]] std::string defect() const;

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::http1
