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

/// Interface between a sidecar and the backend server beside it.
namespace cowslipridge::runner {

/// One request to a runner.
struct Call {
  core::RequestId Request;
  std::string EngineModel; ///< empty for plain services
  http::Request Message;   ///< target and body as the runner expects them
  bool Stream = false;
  bool Idempotent = false; ///< may reach the runner more than once
  int Priority = 0;        ///< lower values run first
  core::Millis Timeout{0}; ///< idle timeout
};

/// Token counts that the runner reported at the end of an answer.
struct Usage {
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens =
      0; ///< prompt tokens served from its prefix cache
  std::uint64_t AnswerTokens = 0;
};

/// Callbacks that receive one answer. They are called in order, one at a time,
/// on any thread, and must not block.
struct CallEvents {
  std::function<void(int status, const http::Headers &fields)> OnHead;
  /// Receives body bytes of a plain answer, or the data of one server-sent
  /// event.
  std::function<void(std::string data)> OnData;
  /// The last callback. The answer is complete if `ec` is empty and `outcome`
  /// is Outcome::Ran.
  std::function<void(std::error_code ec, core::Outcome outcome, Usage usage)>
      OnEnd;
};

/// A call in progress.
class RunningCall {
public:
  virtual ~RunningCall() = default;
  /// Aborts the call, which ends with Errc::Cancelled unless it has ended
  /// already.
  virtual void cancel() = 0;
};

/// Interface to one model engine or plain server.
class Runner {
public:
  virtual ~Runner() = default;
  /// Sends `call`. Returns null if it has already ended with an error.
  virtual std::shared_ptr<RunningCall> start(const Call &call,
                                             CallEvents events) = 0;
  /// Commands the runner to load a version. `fence` increases with every
  /// sidecar incarnation; runners that check it reject a lower one.
  virtual void load(const core::VersionId &version, core::FencingNumber fence,
                    std::function<void(std::error_code)> done) = 0;
};

} // namespace cowslipridge::runner
