#pragma once

#include "cowslipridge/http/Client.hpp"

#include "support/Waiting.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace cowslipridge::integration {

constexpr core::Millis CallerTimeout{30'000};

/// The result of one call, as its caller saw it.
struct CallResult {
  std::error_code Error; ///< connection error; none if the response is complete
  http::SendStage Stage = http::SendStage::NotConnected;
  http::Response Response;

  [[nodiscard]] int status() const { return Error ? 0 : Response.Status; }
  [[nodiscard]] std::string header(std::string_view name) const {
    return http::findHeader(Response.Fields, name).value_or("");
  }
  [[nodiscard]] nlohmann::json json() const {
    return nlohmann::json::parse(Response.Body, nullptr, false);
  }
};

/// A call in flight.
class OpenCall {
public:
  /// The text received so far.
  [[nodiscard]] std::string text() const;
  /// Waits for the end of the call, or fails it with `timed_out` after 60 s.
  CallResult result();
  void cancel();

private:
  friend class Caller;
  struct Shared {
    std::mutex Mutex;
    CallResult Received;
    support::EventualValue<CallResult> Ended;
  };
  std::shared_ptr<Shared> State = std::make_shared<Shared>();
  std::shared_ptr<http::Exchange> Exchange;
};

/// An HTTP client of one base address that sends the API key of an
/// organisation.
class Caller {
public:
  explicit Caller(const std::string &base, std::string key = "",
                  core::Millis timeout = CallerTimeout);

  OpenCall start(http::Request request);
  CallResult call(http::Request request);
  CallResult get(const std::string &target);
  CallResult put(const std::string &target, const nlohmann::json &body);

private:
  http::Client HttpClient;
  std::string Key;
};

/// The contents of a chat-completions request.
struct ChatOptions {
  std::string Service;
  std::string Prompt = "which seat suits a child of two?";
  int MaxTokens = 8;
  bool Stream = false;
  http::Headers Fields = {};
};
http::Request makeChat(const ChatOptions &options);

/// Returns the generated text of a streamed or a complete chat completion.
std::string answerTextOf(const CallResult &result);

} // namespace cowslipridge::integration
