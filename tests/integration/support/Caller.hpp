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

/// How one call ended, as its caller saw it.
struct CallResult {
  std::error_code Error; ///< of the connection; none: the response is complete
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

/// A call that is under way.
class OpenCall {
public:
  /// The text received so far.
  [[nodiscard]] std::string text() const;
  /// Waits for the end.
  CallResult result();
  void cancel();

private:
  friend class Caller;
  struct Shared {
    std::mutex Guard;
    CallResult Seen;
    support::EventualValue<CallResult> Ended;
  };
  std::shared_ptr<Shared> State = std::make_shared<Shared>();
  std::shared_ptr<http::Exchange> Exchange;
};

/// Calls one base address, as an organisation's program does.
class Caller {
public:
  explicit Caller(const std::string &base, std::string key = "",
                  core::Millis timeout = CallerTimeout);

  OpenCall start(http::Request request);
  CallResult call(http::Request request);
  CallResult get(const std::string &target);
  CallResult put(const std::string &target, const nlohmann::json &body);

private:
  http::Client Wire;
  std::string Key;
};

/// A chat-completions request.
struct ChatOptions {
  std::string Service;
  std::string Prompt = "which seat suits a child of two?";
  int MaxTokens = 8;
  bool Stream = false;
  http::Headers Fields = {};
};
http::Request makeChat(const ChatOptions &options);

/// The text that the chunks of a streamed answer, or a whole answer, carry.
std::string answerTextOf(const CallResult &result);

} // namespace cowslipridge::integration
