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
/// Standard deviation of grades around a model's quality.
constexpr double GradeSpread = 0.1;

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
      Orders(Settings.ChecksFencing), Models(Settings.Models),
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
  auto wanted = parseCompletionRequest(request.Body);
  if (!wanted) {
    responder->respond(engineError(400, "not a chat-completions request"));
    return;
  }
  const std::lock_guard lock(Guard);
  if (Models.count(wanted->Model) == 0) {
    responder->respond(engineError(404, "model is not loaded"));
    return;
  }
  auto run = std::make_shared<Run>();
  run->Head = {headerOf(request, "X-Request-Id"), wanted->Model};
  run->Key = headerOf(request, "Idempotency-Key");
  run->Wanted = std::move(*wanted);
  run->Responder = responder;
  if (Running < Settings.Slots)
    beginLocked(run);
  else
    Waiting[{run->Wanted.Priority, ++LastSequence}] = run;
}

void ModelRunner::beginLocked(const RunPtr &run) {
  ++Running;
  Runs.begin(run->Head.Request, run->Key, run->Head.Model);
  run->SlowFactor = Active.SlowFactor;
  run->WrongId = Active.WrongId;
  const auto &prompt = run->Wanted.PromptTokens;
  run->Usage = {prompt.size(), Cache.lookUpAndInsert(prompt),
                run->Wanted.MaxTokens};
  const std::size_t uncached = prompt.size() - run->Usage.CachedTokens;
  const double prefill =
      static_cast<double>(uncached) / 1000 *
      static_cast<double>(Settings.PrefillPerThousandTokens.count());
  core::Millis delay(std::llround(prefill * run->SlowFactor));
  if (!run->Wanted.Stream)
    delay = delay + timeOf(*run, run->Wanted.MaxTokens);
  later(run, delay);
}

core::Millis ModelRunner::timeOf(const Run &run, std::size_t tokens) const {
  const double seconds = static_cast<double>(tokens) / Settings.TokensPerSecond;
  return core::Millis(std::llround(seconds * 1000 * run.SlowFactor));
}

void ModelRunner::later(const RunPtr &run, core::Millis delay) {
  Timer->after(delay, [self = weak_from_this(), run] {
    if (const auto it = self.lock())
      it->step(run);
  });
}

AnswerMetadata ModelRunner::headOf(const Run &run) {
  if (!run.WrongId)
    return run.Head;
  return {"other-" + run.Head.Request, run.Head.Model};
}

void ModelRunner::step(const RunPtr &run) {
  if (!run->Wanted.Stream) {
    const AnswerMetadata head = headOf(*run);
    http::Response answer =
        http::makeJson(200, completeAnswer(head, run->Usage));
    answer.Fields.push_back({"X-Request-Id", head.Request});
    run->Responder->respond(std::move(answer));
    end(run, RunState::Finished);
    return;
  }
  if (run->Responder->gone()) {
    end(run, RunState::Cancelled);
    return;
  }
  streamStep(*run);
  if (run->TokensSent >= run->Wanted.MaxTokens) {
    const AnswerMetadata head = headOf(*run);
    run->Responder->write(finishEvent(head));
    run->Responder->write(usageEvent(head, run->Usage));
    run->Responder->write(doneEvent());
    run->Responder->finish();
    end(run, RunState::Finished);
    return;
  }
  // Whole times from the first token on, so that rounding adds up to nothing.
  later(run, timeOf(*run, run->TokensSent) - timeOf(*run, run->TokensSent - 1));
}

void ModelRunner::streamStep(Run &run) {
  if (run.TokensSent == 0)
    run.Responder->start(200, {{"Content-Type", "text/event-stream"},
                               {"Cache-Control", "no-cache"}});
  if (run.TokensSent >= run.Wanted.MaxTokens)
    return;
  const std::string token =
      answerToken(run.Head, run.TokensSent, run.Wanted.MaxTokens);
  // A mixed-up engine starts with the right id, then answers somebody else.
  const AnswerMetadata head = run.TokensSent == 0 ? run.Head : headOf(run);
  run.Responder->write(tokenEvent(head, token));
  ++run.TokensSent;
}

void ModelRunner::end(const RunPtr &run, RunState state) {
  Runs.end(run->Head.Request, state);
  if (state == RunState::Finished)
    submitGrade(*run);
  run->Responder.reset();
  const std::lock_guard lock(Guard);
  --Running;
  while (Running < Settings.Slots && !Waiting.empty()) {
    const RunPtr next = Waiting.begin()->second;
    Waiting.erase(Waiting.begin());
    if (next->Responder->gone())
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
    std::normal_distribution<double> spread(Models[run.Head.Model],
                                            GradeSpread);
    score = std::clamp(spread(Random), 0.0, 1.0);
  }
  const json body = {{"subject", Settings.Name},
                     {"request", run.Head.Request},
                     {"score", score}};
  RatingsClient->fetchAsync({"POST", "/submissions", {}, body.dump()},
                            [](const core::Result<http::Response> &) {});
}

void ModelRunner::load(const http::Request &request,
                       const std::shared_ptr<http::Responder> &responder) {
  const json body = json::parse(request.Body, nullptr, false);
  if (!body.is_object() || !body.contains("lora_name") ||
      !body["lora_name"].is_string()) {
    responder->respond(engineError(400, "no lora_name"));
    return;
  }
  const auto model = body["lora_name"].get<std::string>();
  if (!Orders.accept(request, model)) {
    responder->respond(engineError(409, "fencing number is too old"));
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
    auto response = engineError(503, "weights are not available");
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
    return Orders.report();
  if (path == "/debug/quality" && request.Method == "PUT")
    return setQuality(request.Body);
  return std::nullopt;
}

http::Response ModelRunner::setQuality(const std::string &body) {
  const json wanted = json::parse(body, nullptr, false);
  if (!wanted.is_object())
    return http::makeProblem({"malformed", "Not a set of models", 400, ""});
  const std::lock_guard lock(Guard);
  for (const auto &[model, quality] : wanted.items())
    if (quality.is_number())
      Models[model] = quality.get<double>();
  return http::makeJson(200, json(Models).dump());
}

void ModelRunner::setFaults(const Faults &faults) {
  const std::lock_guard lock(Guard);
  Active = faults;
}

} // namespace cowslipridge::standins
