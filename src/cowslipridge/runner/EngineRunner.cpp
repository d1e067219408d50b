#include "cowslipridge/runner/EngineRunner.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/runner/EngineMessage.hpp"
#include "cowslipridge/runner/SseParser.hpp"
#include "cowslipridge/runner/internal/GuardedCall.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::runner {

using core::Errc;
using core::Outcome;

namespace {

constexpr int FirstErrorStatus = 400;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr int FirstServerError = 500;

/// Largest whole answer that is collected, in bytes.
constexpr std::size_t MaxAnswerBytes = 8'388'608;

/// Follows one answer of an engine.
class EngineCall final : public GuardedCall {
public:
  EngineCall(CallEvents events, bool usageWanted)
      : GuardedCall(std::move(events)), UsageWanted(usageWanted) {}

private:
  void onHead(int status, const http::Headers &fields) override {
    Status = status;
    const auto type = http::findHeader(fields, "Content-Type");
    Streams = status < FirstErrorStatus && type &&
              type->starts_with("text/event-stream");
    if (!isRefusal() && status < FirstServerError)
      tellHead(status, fields);
  }

  void onChunk(std::string chunk) override {
    if (Streams) {
      takeEvents(chunk);
      return;
    }
    Whole += chunk;
    if (Whole.size() > MaxAnswerBytes)
      finish(Errc::RunnerFailed, Outcome::Unknown, {});
  }

  void onComplete() override {
    if (isRefusal())
      finish(Errc::RunnerUnavailable, Outcome::NotRun, {});
    else if (Status >= FirstServerError)
      finish(Errc::RunnerFailed, Outcome::Unknown, {});
    else if (Streams)
      finishStream();
    else
      finishWhole();
  }

  // Engines answer so before they queue a request.
  [[nodiscard]] bool isRefusal() const {
    return Status == TooManyRequests || Status == ServiceUnavailable;
  }

  void takeEvents(const std::string &chunk) {
    for (SseEvent &it : Parser.feed(chunk))
      takeEvent(std::move(it));
    if (Parser.failed())
      finish(Errc::RunnerFailed, Outcome::Unknown, Tokens);
  }

  void takeEvent(SseEvent event) {
    if (event.Data == EndOfStream) {
      Ended = true;
      return;
    }
    const core::Result<EngineReport> report = readReport(event.Data);
    if (!report || report->IsError) {
      finish(Errc::RunnerFailed, Outcome::Unknown, Tokens);
      return;
    }
    if (report->HasUsage)
      Tokens = report->Tokens;
    Finished = Finished || report->Finished;
    if (!report->UsageOnly || UsageWanted)
      tellData(std::move(event.Data));
  }

  // A stream that ends without its last events was cut short.
  void finishStream() {
    if (Ended && Finished)
      finish({}, Outcome::Ran, Tokens);
    else
      finish(Errc::RunnerFailed, Outcome::Unknown, Tokens);
  }

  void finishWhole() {
    const core::Result<EngineReport> report = readReport(Whole);
    if (!report) {
      finish(Errc::RunnerFailed, Outcome::Unknown, {});
      return;
    }
    tellData(std::move(Whole));
    finish({}, Outcome::Ran, report->Tokens);
  }

  const bool UsageWanted;
  int Status = 0;
  bool Streams = false;
  bool Ended = false;
  bool Finished = false;
  Usage Tokens;
  SseParser Parser;
  std::string Whole;
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

EngineRunner::EngineRunner(std::string base, core::Millis timeout)
    : Engine(std::move(base), timeout) {}

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
                    {"X-Request-Id", call.Request.str()}};
  message.Body = body->Text;
  auto running =
      std::make_shared<EngineCall>(std::move(events), body->UsageWanted);
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
