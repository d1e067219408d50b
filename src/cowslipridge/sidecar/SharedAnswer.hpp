#pragma once

#include "cowslipridge/rpc/Server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslipridge::sidecar {

/// Records one answer and gives it to every follower from its beginning, so
/// that a retry can attach to a request that is still running.
class SharedAnswer final : public rpc::AnswerSink {
public:
  /// An answer that outgrows this is passed on but can no longer be joined.
  static constexpr std::size_t MaxRecordedBytes = 1'048'576;

  /// Gives `sink` what has come so far, and all that follows.
  void follow(std::shared_ptr<rpc::AnswerSink> sink);
  void unfollow(const rpc::AnswerSink *sink);

  void head(int status, http::Headers fields) override;
  bool frame(std::string data) override;
  void end(rpc::RunResult result) override;

  /// True when a retry can be given this answer.
  [[nodiscard]] bool joinable() const;
  [[nodiscard]] bool ended() const { return Result.has_value(); }
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
