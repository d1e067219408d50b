#include "Caller.hpp"

namespace cowslipridge::integration {

using nlohmann::json;

std::string OpenCall::text() const {
  const std::lock_guard lock(State->Mutex);
  return State->Received.Response.Body;
}

CallResult OpenCall::result() {
  const auto ended = State->Ended.get(std::chrono::seconds(60));
  if (ended)
    return *ended;
  CallResult timedOut;
  timedOut.Error = std::make_error_code(std::errc::timed_out);
  return timedOut;
}

void OpenCall::cancel() { Exchange->cancel(); }

Caller::Caller(const std::string &base, std::string key, core::Millis timeout)
    : HttpClient(base, timeout), Key(std::move(key)) {}

OpenCall Caller::start(http::Request request) {
  if (!Key.empty())
    request.Fields.push_back({"Authorization", "Bearer " + Key});
  OpenCall call;
  const auto state = call.State;
  http::ResponseEvents events;
  events.OnHead = [state](int status, const http::Headers &fields) {
    const std::lock_guard lock(state->Mutex);
    state->Received.Response.Status = status;
    state->Received.Response.Fields = fields;
  };
  events.OnChunk = [state](const std::string &chunk) {
    const std::lock_guard lock(state->Mutex);
    state->Received.Response.Body += chunk;
  };
  events.OnEnd = [state](std::error_code ec, http::SendStage stage) {
    CallResult received;
    {
      const std::lock_guard lock(state->Mutex);
      state->Received.Error = ec;
      state->Received.Stage = stage;
      received = state->Received;
    }
    state->Ended.set(std::move(received));
  };
  call.Exchange = HttpClient.send(std::move(request), std::move(events));
  return call;
}

CallResult Caller::call(http::Request request) {
  return start(std::move(request)).result();
}

CallResult Caller::get(const std::string &target) {
  return call({"GET", target, {}, ""});
}

CallResult Caller::put(const std::string &target, const json &body) {
  return call({"PUT", target, {}, body.dump()});
}

http::Request makeChat(const ChatOptions &options) {
  const json body = {{"model", options.Service},
                     {"messages", json::array({{{"role", "user"},
                                                {"content", options.Prompt}}})},
                     {"max_tokens", options.MaxTokens},
                     {"stream", options.Stream}};
  http::Request request = {"POST",
                           "/v1/chat/completions",
                           {{"Content-Type", "application/json"}},
                           body.dump()};
  request.Fields.insert(request.Fields.end(), options.Fields.begin(),
                        options.Fields.end());
  return request;
}

namespace {

std::string chunkText(const std::string &data) {
  const json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object() || !chunk.contains("choices"))
    return "";
  std::string text;
  for (const json &choice : chunk["choices"])
    text += choice.value("delta", json::object()).value("content", "");
  return text;
}

} // namespace

std::string answerTextOf(const CallResult &result) {
  const std::string &body = result.Response.Body;
  const json completion = json::parse(body, nullptr, false);
  if (completion.is_object())
    return completion["choices"][0]["message"].value("content", "");
  constexpr std::string_view Prefix = "data: ";
  std::string text;
  std::size_t start = 0;
  for (auto end = body.find('\n'); end != std::string::npos;
       start = end + 1, end = body.find('\n', start)) {
    const std::string line = body.substr(start, end - start);
    if (line.starts_with(Prefix))
      text += chunkText(line.substr(Prefix.size()));
  }
  return text;
}

} // namespace cowslipridge::integration
