#pragma once

#include "cowslipridge/http1/Message.hpp"

#include <memory>
#include <string>

namespace cowslipridge::http1 {

enum class ResponseStatus { NeedMore, Complete, Malformed };

/// Reads one final response; interim ones (1xx) are passed over.
class ResponseParser {
public:
  /// `headRequest`: the answer of a HEAD request has no body.
  explicit ResponseParser(bool headRequest);
  ~ResponseParser();

  /// Takes what belongs to this response from the front of `input`.
  ResponseStatus parse(std::string &input);
  /// The connection ended without a reset: completes a body that lasts until
  /// then.
  ResponseStatus finish();
  [[nodiscard]] bool headDone() const;
  /// Only when headDone().
  [[nodiscard]] const ResponseHead &head() const;
  /// The part of the body that was read since the last call.
  std::string takeBody();

private:
  class Impl;
  std::unique_ptr<Impl> Internals;
};

} // namespace cowslipridge::http1
