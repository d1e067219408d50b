#pragma once

#include "cowslipridge/rpc/Server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::sidecar {

/// Records one answer and sends it to every follower from its beginning, so
/// that a retry can attach to a request in progress.
class SharedAnswer final : public rpc::AnswerSink {
public:
  /// A larger answer is still forwarded, but retries can no longer join it.
  static constexpr std::size_t MaxRecordedBytes = 1'048'576;

  /// Sends `sink` the recorded part of the answer and everything that follows.
  void follow(std::shared_ptr<rpc::AnswerSink> sink);
  void unfollow(const rpc::AnswerSink *sink);

  void head(int status, http::Headers fields) override;
  bool frame(std::string data) override;
  void end(rpc::RunResult result) override;

  /// Returns true if a retry can receive this answer.
  [[nodiscard]] bool isJoinable() const;
  [[nodiscard]] bool hasEnded() const { return Result.has_value(); }
  [[nodiscard]] std::size_t recordedBytes() const { return Bytes; }

private:
  struct Head {
    int Status = 0;
    http::Headers Fields;
  };

  std::vector<std::shared_ptr<rpc::AnswerSink>> Followers;
  std::optional<Head> Start;
  std::vector<std::string> Frames;
  std::size_t Bytes = 0;
  bool TooLarge = false;
  std::optional<rpc::RunResult> Result;
};

} // namespace cowslipridge::sidecar
