#include "cowslipridge/sidecar/SharedAnswer.hpp"

#include <algorithm>

namespace cowslipridge::sidecar {

void SharedAnswer::follow(std::shared_ptr<rpc::AnswerSink> sink) {
  if (Start)
    sink->head(Start->Status, Start->Fields);
  for (const std::string &it : Frames)
    sink->frame(it);
  if (!Result) {
    Followers.push_back(std::move(sink));
    return;
  }
  rpc::RunResult replayed = *Result;
  replayed.Replayed = true;
  sink->end(std::move(replayed));
}

void SharedAnswer::unfollow(const rpc::AnswerSink *sink) {
  std::erase_if(Followers, [&](const auto &x) { return x.get() == sink; });
}

void SharedAnswer::head(int status, http::Headers fields) {
  Start = Head{status, std::move(fields)};
  for (const auto &it : Followers)
    it->head(status, Start->Fields);
}

// A slow follower is removed without an effect on the other followers.
bool SharedAnswer::frame(std::string data) {
  std::erase_if(Followers, [&](const auto &x) { return !x->frame(data); });
  Bytes += data.size();
  TooLarge = TooLarge || Bytes > MaxRecordedBytes;
  if (TooLarge)
    Frames.clear();
  else
    Frames.push_back(std::move(data));
  return true;
}

void SharedAnswer::end(rpc::RunResult result) {
  const auto followers = std::exchange(Followers, {});
  Result = std::move(result);
  for (const auto &it : followers)
    it->end(*Result);
}

bool SharedAnswer::isJoinable() const {
  return !TooLarge && (!Result || !Result->Error);
}

} // namespace cowslipridge::sidecar
