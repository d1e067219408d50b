#include "cowslipridge/runner/EngineRunner.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/runner/EngineMessage.hpp"
#include "cowslipridge/runner/SseParser.hpp"
#include "cowslipridge/runner/StreamCheck.hpp"
#include "cowslipridge/runner/internal/GuardedCall.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::runner {

using core::Errc;
using core::Outcome;

namespace {

constexpr int FirstErrorStatus = 400;
constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;

/// Header that carries the request id. Some engines return it in the response.
constexpr std::string_view RequestIdHeader = "X-Request-Id";

/// Largest answer that is buffered when it is not streamed, in bytes (8 MiB).
constexpr std::size_t MaxAnswerBytes = 8'388'608;

/// Receives and validates one answer of an engine.
class EngineCall final : public GuardedCall {
public:
  EngineCall(CallEvents events, core::RequestId request, bool callerWantsUsage)
      : GuardedCall(std::move(events)), Request(std::move(request)),
        CallerWantsUsage(callerWantsUsage) {}

private:
  void onHead(int status, const http::Headers &fields) override {
    Status = status;
    const auto echoed = http::findHeader(fields, RequestIdHeader);
    if (echoed && *echoed != Request.str()) {
      finish(Errc::RunnerFailed, Outcome::Unknown, {});
      return;
    }
    const auto type = http::findHeader(fields, "Content-Type");
    IsStream = status < FirstErrorStatus && type &&
               type->starts_with("text/event-stream");
    if (!isRefusal() && status < FirstServerError)
      forwardHead(status, fields);
  }

  void onChunk(std::string chunk) override {
    if (IsStream) {
      handleEvents(chunk);
      return;
    }
    Body += chunk;
    if (Body.size() > MaxAnswerBytes)
      finish(Errc::RunnerFailed, Outcome::Unknown, {});
  }

  void onComplete() override {
    if (isRefusal() || Status >= FirstServerError)
      finish(Errc::RunnerFailed, Outcome::Unknown, {});
    else if (IsStream)
      finishStream();
    else
      finishUnstreamed();
  }

  // The protocol of engines has no statement that a refused request did not
  // run: the outcome is unknown.
  [[nodiscard]] bool isRefusal() const { return Status == TooManyRequests; }

  void handleEvents(const std::string &chunk) {
    for (SseEvent &it : Parser.feed(chunk))
      handleEvent(std::move(it));
    if (Parser.failed())
      finish(Errc::RunnerFailed, Outcome::Unknown, Tokens);
  }

  void handleEvent(SseEvent event) {
    if (event.Data == EndOfStream) {
      if (!Check.acceptEnd())
        finish(Errc::RunnerFailed, Outcome::Unknown, Tokens);
      return;
    }
    const core::Result<EngineReport> report = readReport(event.Data);
    if (!report || report->IsError || !Check.acceptChunk(*report)) {
      finish(Errc::RunnerFailed, Outcome::Unknown, Tokens);
      return;
    }
    if (report->HasUsage)
      Tokens = report->Tokens;
    if (!report->UsageOnly || CallerWantsUsage)
      forwardData(std::move(event.Data));
  }

  // A stream that ends without its last events was truncated.
  void finishStream() {
    if (Check.complete())
      finish({}, Outcome::Ran, Tokens);
    else
      finish(Errc::RunnerFailed, Outcome::Unknown, Tokens);
  }

  void finishUnstreamed() {
    const core::Result<EngineReport> report = readReport(Body);
    if (!report) {
      finish(Errc::RunnerFailed, Outcome::Unknown, {});
      return;
    }
    forwardData(std::move(Body));
    finish({}, Outcome::Ran, report->Tokens);
  }

  const core::RequestId Request;
  const bool CallerWantsUsage;
  int Status = 0;
  bool IsStream = false;
  StreamCheck Check;
  Usage Tokens;
  SseParser Parser;
  std::string Body;
};

std::error_code toLoadError(const core::Result<http::Response> &response) {
  if (!response)
    return Errc::RunnerUnavailable;
  if (response->Status < FirstErrorStatus)
    return {};
  return response->Status < FirstServerError ? Errc::Conflict
                                             : Errc::RunnerFailed;
}

} // namespace

EngineRunner::EngineRunner(const std::string &base, core::Millis timeout)
    : Engine(base, timeout) {}

std::shared_ptr<RunningCall> EngineRunner::start(const Call &call,
                                                 CallEvents events) {
  core::Result<EngineBody> body = toEngineBody(call);
  if (!body) {
    events.OnEnd(body.error(), Outcome::NotRun, {});
    return nullptr;
  }
  http::Request message = call.Message;
  message.Method = "POST";
  message.Target = "/v1/chat/completions";
  message.Fields = {{"Content-Type", "application/json"},
                    {std::string(RequestIdHeader), call.Request.str()}};
  message.Body = body->Text;
  auto running = std::make_shared<EngineCall>(std::move(events), call.Request,
                                              body->CallerWantsUsage);
  running->send(Engine, std::move(message));
  return running;
}

void EngineRunner::load(const core::VersionId &version,
                        core::FencingNumber fence,
                        std::function<void(std::error_code)> done) {
  const nlohmann::json body = {{"lora_name", version.str()},
                               {"lora_path", "/weights/" + version.str()}};
  http::Request message;
  message.Method = "POST";
  message.Target = "/v1/load_lora_adapter";
  message.Fields = {{"Content-Type", "application/json"},
                    {"Fencing-Number", std::to_string(fence.value())}};
  message.Body = body.dump();
  Engine.fetchAsync(
      std::move(message),
      [done = std::move(done)](const core::Result<http::Response> &response) {
        done(toLoadError(response));
      });
}

} // namespace cowslipridge::runner
