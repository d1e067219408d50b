#include "standins/ModelRunner.hpp"

#include "standins/RequestParts.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

constexpr core::Millis PlatformTimeout{5'000};
constexpr double DefaultQuality = 0.5;
/// Grades are distributed normally around the quality of the model.
constexpr double GradeStandardDeviation = 0.1;

http::Response engineError(int status, const std::string &message) {
  const json body = {{"error", {{"message", message}, {"code", status}}}};
  return http::makeJson(status, body.dump());
}

std::string headerOf(const http::Request &request, std::string_view name) {
  return http::findHeader(request.Fields, name).value_or("");
}

} // namespace

ModelRunner::ModelRunner(ModelRunnerSettings settings,
                         std::shared_ptr<Scheduler> timer)
    : Settings(std::move(settings)), Timer(std::move(timer)),
      Commands(Settings.ChecksFencing), Models(Settings.Models),
      Cache(Settings.CacheBlocks), Random(Settings.Seed) {
  if (!Settings.RatingsAddress.empty())
    RatingsClient = std::make_unique<http::Client>(Settings.RatingsAddress,
                                                   PlatformTimeout);
  if (!Settings.WeightsAddress.empty())
    WeightsClient = std::make_unique<http::Client>(Settings.WeightsAddress,
                                                   PlatformTimeout);
}

void ModelRunner::serve(http::Request request,
                        std::shared_ptr<http::Responder> responder) {
  const std::string path = request.path();
  if (path == "/v1/chat/completions" && request.Method == "POST")
    complete(request, responder);
  else if (path == "/v1/load_lora_adapter" && request.Method == "POST")
    load(request, responder);
  else if (path == "/metrics")
    responder->respond(metrics());
  else if (path == "/health")
    responder->respond({});
  else
    responder->respond(engineError(404, "no such page"));
}

void ModelRunner::complete(const http::Request &request,
                           const std::shared_ptr<http::Responder> &responder) {
  auto completion = parseCompletionRequest(request.Body);
  if (!completion) {
    responder->respond(
        engineError(400, "body is not a chat-completions request"));
    return;
  }
  const std::lock_guard lock(Guard);
  if (Models.count(completion->Model) == 0) {
    responder->respond(engineError(404, "model is not loaded"));
    return;
  }
  auto run = std::make_shared<Run>();
  run->Metadata = {headerOf(request, "X-Request-Id"), completion->Model};
  run->Key = headerOf(request, "Idempotency-Key");
  run->Request = std::move(*completion);
  run->Responder = responder;
  if (Running < Settings.Slots)
    beginLocked(run);
  else
    Waiting[{run->Request.Priority, ++LastSequence}] = run;
}

void ModelRunner::beginLocked(const RunPtr &run) {
  ++Running;
  Runs.begin(run->Metadata.Request, run->Key, run->Metadata.Model);
  run->SlowFactor = Active.SlowFactor;
  run->WrongId = Active.WrongId;
  const auto &prompt = run->Request.PromptTokens;
  run->Usage = {prompt.size(), Cache.lookUpAndInsert(prompt),
                run->Request.MaxTokens};
  const std::size_t uncached = prompt.size() - run->Usage.CachedTokens;
  const double prefill =
      static_cast<double>(uncached) / 1000 *
      static_cast<double>(Settings.PrefillPerThousandTokens.count());
  core::Millis delay(std::llround(prefill * run->SlowFactor));
  if (!run->Request.Stream)
    delay = delay + generationTime(*run, run->Request.MaxTokens);
  scheduleAdvance(run, delay);
}

core::Millis ModelRunner::generationTime(const Run &run,
                                         std::size_t tokens) const {
  const double seconds = static_cast<double>(tokens) / Settings.TokensPerSecond;
  return core::Millis(std::llround(seconds * 1000 * run.SlowFactor));
}

void ModelRunner::scheduleAdvance(const RunPtr &run, core::Millis delay) {
  Timer->after(delay, [self = weak_from_this(), run] {
    if (const auto it = self.lock())
      it->advance(run);
  });
}

AnswerMetadata ModelRunner::metadataOf(const Run &run) {
  if (!run.WrongId)
    return run.Metadata;
  return {"other-" + run.Metadata.Request, run.Metadata.Model};
}

void ModelRunner::advance(const RunPtr &run) {
  if (!run->Request.Stream) {
    const AnswerMetadata metadata = metadataOf(*run);
    http::Response answer =
        http::makeJson(200, completeAnswer(metadata, run->Usage));
    answer.Fields.push_back({"X-Request-Id", metadata.Request});
    run->Responder->respond(std::move(answer));
    end(run, RunState::Finished);
    return;
  }
  if (run->Responder->isDisconnected()) {
    end(run, RunState::Cancelled);
    return;
  }
  streamNextToken(*run);
  if (run->TokensSent >= run->Request.MaxTokens) {
    const AnswerMetadata metadata = metadataOf(*run);
    run->Responder->write(finishEvent(metadata));
    run->Responder->write(usageEvent(metadata, run->Usage));
    run->Responder->write(doneEvent());
    run->Responder->finish();
    end(run, RunState::Finished);
    return;
  }
  // The delay is a difference of times since the first token, so that rounding
  // errors do not accumulate.
  scheduleAdvance(run, generationTime(*run, run->TokensSent) -
                           generationTime(*run, run->TokensSent - 1));
}

void ModelRunner::streamNextToken(Run &run) {
  if (run.TokensSent == 0)
    run.Responder->start(200, {{"Content-Type", "text/event-stream"},
                               {"Cache-Control", "no-cache"}});
  if (run.TokensSent >= run.Request.MaxTokens)
    return;
  const std::string token =
      answerToken(run.Metadata, run.TokensSent, run.Request.MaxTokens);
  // With the wrong_id fault, the first event carries the right id and all later
  // events carry another request's id.
  const AnswerMetadata metadata =
      run.TokensSent == 0 ? run.Metadata : metadataOf(run);
  run.Responder->write(tokenEvent(metadata, token));
  ++run.TokensSent;
}

void ModelRunner::end(const RunPtr &run, RunState state) {
  Runs.end(run->Metadata.Request, state);
  if (state == RunState::Finished)
    submitGrade(*run);
  run->Responder.reset();
  const std::lock_guard lock(Guard);
  --Running;
  while (Running < Settings.Slots && !Waiting.empty()) {
    const RunPtr next = Waiting.begin()->second;
    Waiting.erase(Waiting.begin());
    if (next->Responder->isDisconnected())
      continue;
    beginLocked(next);
  }
}

void ModelRunner::submitGrade(const Run &run) {
  if (!RatingsClient)
    return;
  double score = 0;
  {
    const std::lock_guard lock(Guard);
    std::normal_distribution<double> spread(Models[run.Metadata.Model],
                                            GradeStandardDeviation);
    score = std::clamp(spread(Random), 0.0, 1.0);
  }
  const json body = {{"subject", Settings.Name},
                     {"request", run.Metadata.Request},
                     {"score", score}};
  RatingsClient->fetchAsync({"POST", "/submissions", {}, body.dump()},
                            [](const core::Result<http::Response> &) {});
}

void ModelRunner::load(const http::Request &request,
                       const std::shared_ptr<http::Responder> &responder) {
  const json body = json::parse(request.Body, nullptr, false);
  if (!body.is_object() || !body.contains("lora_name") ||
      !body["lora_name"].is_string()) {
    responder->respond(
        engineError(400, "lora_name is missing or not a string"));
    return;
  }
  const auto model = body["lora_name"].get<std::string>();
  if (!Commands.accept(request, model)) {
    responder->respond(
        engineError(409, "fencing number is lower than one already accepted"));
    return;
  }
  if (!WeightsClient) {
    finishLoad(model, responder, http::Response{});
    return;
  }
  WeightsClient->fetchAsync({"GET", "/weights/" + model, {}, ""},
                            [self = weak_from_this(), model, responder](
                                const core::Result<http::Response> &weights) {
                              if (const auto it = self.lock())
                                it->finishLoad(model, responder, weights);
                            });
}

void ModelRunner::finishLoad(const std::string &model,
                             const std::shared_ptr<http::Responder> &responder,
                             const core::Result<http::Response> &weights) {
  if (!weights || weights->Status != 200) {
    auto response = engineError(503, "weight store returned no weights");
    if (weights)
      if (const auto delay = http::findHeader(weights->Fields, "Retry-After"))
        response.Fields.push_back({"Retry-After", *delay});
    responder->respond(std::move(response));
    return;
  }
  {
    const std::lock_guard lock(Guard);
    Models.emplace(model, DefaultQuality);
  }
  responder->respond({200, {}, "Success: model is loaded"});
}

http::Response ModelRunner::metrics() const {
  const std::lock_guard lock(Guard);
  std::ostringstream out;
  out << "# TYPE vllm:num_requests_running gauge\n"
      << "vllm:num_requests_running " << Running << "\n"
      << "# TYPE vllm:num_requests_waiting gauge\n"
      << "vllm:num_requests_waiting " << Waiting.size() << "\n";
  return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, out.str()};
}

std::optional<http::Response> ModelRunner::debug(const http::Request &request) {
  const std::string path = request.path();
  if (path == "/debug/runs")
    return Runs.report();
  if (path == "/debug/orders")
    return Commands.report();
  if (path == "/debug/quality" && request.Method == "PUT")
    return setQuality(request.Body);
  return std::nullopt;
}

http::Response ModelRunner::setQuality(const std::string &body) {
  const json qualities = json::parse(body, nullptr, false);
  if (!qualities.is_object())
    return http::makeProblem(
        {"malformed", "Body is not a JSON object of model qualities", 400, ""});
  const std::lock_guard lock(Guard);
  for (const auto &[model, quality] : qualities.items())
    if (quality.is_number())
      Models[model] = quality.get<double>();
  return http::makeJson(200, json(Models).dump());
}

void ModelRunner::setFaults(const Faults &faults) {
  const std::lock_guard lock(Guard);
  Active = faults;
}

} // namespace cowslipridge::standins
