#include "cowslipridge/entry/Draft.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cowslipridge;
using namespace cowslipridge::entry;
using nlohmann::json;

namespace {

const core::VersionId Small("small@3");

const std::string Answer = R"({"id":"c1","object":"chat.completion",
  "choices":[{"index":0,"finish_reason":"stop",
    "message":{"role":"assistant","content":"rink 4"},
    "logprobs":{"content":[{"logprob":-0.2},{"logprob":-0.4}]}}],
  "usage":{"prompt_tokens":3,"completion_tokens":2}})";

TEST(Draft, disablesStreamingAndRequestsLogProbabilities) {
  const json body = json::parse(toDraftBody(
      R"({"model":"m","stream":true,"stream_options":{"include_usage":true}})"));
  EXPECT_EQ(body["stream"], false);
  EXPECT_EQ(body["logprobs"], true);
  EXPECT_FALSE(body.contains("stream_options"));
}

TEST(Draft, readsAttributesForTheAnswerCheck) {
  const auto attributes = readDraft(Answer, Small);
  ASSERT_TRUE(attributes.ok());
  EXPECT_EQ(attributes->FinishReason, "stop");
  EXPECT_EQ(attributes->AnswerTokens, 2U);
  ASSERT_TRUE(attributes->MeanLogProbability);
  EXPECT_DOUBLE_EQ(*attributes->MeanLogProbability, -0.3);
}

TEST(Draft, rejectsBodiesThatAreNotChatCompletions) {
  for (const char *it : {"", "[]", "{}", R"({"choices":[]})"})
    EXPECT_FALSE(readDraft(it, Small).ok()) << it;
}

TEST(Draft, removesLogProbabilitiesUnlessTheCallerRequestedThem) {
  const json hidden = json::parse(toCallerBody(Answer, R"({"model":"m"})"));
  EXPECT_FALSE(hidden["choices"][0].contains("logprobs"));
  EXPECT_EQ(toCallerBody(Answer, R"({"logprobs":true})"), Answer);
}

TEST(Draft, convertsToChunksThatEndWithTheFinishReason) {
  const auto chunks = toChunks(Answer);
  ASSERT_EQ(chunks.size(), 2U);
  const json first = json::parse(chunks[0]);
  const json last = json::parse(chunks[1]);
  EXPECT_EQ(first["object"], "chat.completion.chunk");
  EXPECT_EQ(first["choices"][0]["delta"]["content"], "rink 4");
  EXPECT_TRUE(first["choices"][0]["finish_reason"].is_null());
  EXPECT_EQ(last["choices"][0]["finish_reason"], "stop");
}

} // namespace
