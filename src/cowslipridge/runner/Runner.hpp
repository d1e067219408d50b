#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/core/Outcome.hpp"
#include "cowslipridge/http/Message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

/// Port to the backend server beside a sidecar.
namespace cowslipridge::runner {

/// One call to a runner.
struct Call {
  core::RequestId Request;
  std::string EngineModel; ///< empty for plain services
  http::Request Message;   ///< target and body as the runner expects them
  bool Stream = false;
  int Priority = 0;        ///< lower runs first
  core::Millis Timeout{0}; ///< for the next bytes
};

/// What the runner reported at the end of an answer.
struct Usage {
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0; ///< prompt tokens found in its prefix cache
  std::uint64_t AnswerTokens = 0;
};

/// Receives one answer. Calls come in order, never two at a time, on any
/// thread, and must not block.
struct CallEvents {
  std::function<void(int status, const http::Headers &fields)> OnHead;
  /// Body bytes of a plain answer, or the data of one server-sent event.
  std::function<void(std::string data)> OnData;
  /// Last call. No error and Outcome::Ran: the answer is complete.
  std::function<void(std::error_code ec, core::Outcome outcome, Usage usage)>
      OnEnd;
};

/// Breaks off one call.
class RunningCall {
public:
  virtual ~RunningCall() = default;
  virtual void cancel() = 0;
};

/// Port to one model engine or plain server.
class Runner {
public:
  virtual ~Runner() = default;
  virtual std::shared_ptr<RunningCall> start(const Call &call,
                                             CallEvents events) = 0;
  /// Orders the runner to load a version. `fence` rises with every sidecar
  /// incarnation; runners that check it refuse a lower one.
  virtual void load(const core::VersionId &version, core::FencingNumber fence,
                    std::function<void(std::error_code)> done) = 0;
};

} // namespace cowslipridge::runner
