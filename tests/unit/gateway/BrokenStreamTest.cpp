#include "cowslipridge/gateway/RequestStateMachine.hpp"

#include "support/ScriptedPlacementPolicy.hpp"

#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using catalogue::RouteKind;
using core::Millis;

namespace {

/// Successful responses to requests for streams that are no streams.
class BrokenStreamTest : public testing::Test {
protected:
  void begin(RouteKind kind,
             std::optional<std::uint64_t> lastEventId = std::nullopt) {
    RequestContext context = support::requestContext(kind, 2);
    context.Caller.LastEventId = lastEventId;
    Machine.emplace(std::move(context), Policy, Actions);
    Machine->start(Millis(0));
  }

  void head(const http1::ResponseHead &head) {
    ResponseAttributes attributes;
    attributes.Status = head.Status;
    attributes.Authentic = true;
    Machine->onHead(head, attributes, Millis(10));
  }

  static http1::ResponseHead ofType(const std::string &type) {
    http1::ResponseHead head;
    head.Body = http1::Framing::Chunked;
    head.Fields.add("Content-Type", type);
    return head;
  }

  static http1::ResponseHead sound() { return ofType("text/event-stream"); }

  void serveOneEvent() {
    head(sound());
    Machine->onData("id: 1\ndata: a\n\n", Millis(11));
    Machine->onEnd(Millis(12));
  }

  void expectComplete() const {
    EXPECT_TRUE(Machine->done());
    EXPECT_FALSE(Actions.Aborted);
  }

  support::ScriptedPlacementPolicy Policy;
  support::RecordedActions Actions;
  std::optional<RequestStateMachine> Machine;
};

TEST_F(BrokenStreamTest, anotherTypeIsNoStream) {
  begin(RouteKind::ResumableStream);
  head(ofType("text/html"));
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Broken);
  serveOneEvent();
  EXPECT_EQ(Actions.Status, 200);
  EXPECT_EQ(Actions.Body, "id: 1\ndata: a\n\n");
}

TEST_F(BrokenStreamTest, typeMayHaveParametersAndAnyCase) {
  begin(RouteKind::Stream);
  head(ofType("Text/Event-Stream; charset=utf-8"));
  EXPECT_EQ(Actions.Status, 200);
}

TEST_F(BrokenStreamTest, statusWithoutABodyIsNoStream) {
  begin(RouteKind::ResumableStream);
  http1::ResponseHead none;
  none.Status = 204;
  head(none);
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Broken);
  serveOneEvent();
  EXPECT_EQ(Actions.Status, 200);
}

// Guards against a stream of which nothing came that looks complete.
TEST_F(BrokenStreamTest, streamWithoutAnEventIsBroken) {
  begin(RouteKind::Stream);
  head(sound());
  Machine->onData(": a comment\n\n", Millis(11));
  Machine->onEnd(Millis(12));
  EXPECT_TRUE(Actions.Aborted);
  EXPECT_EQ(Actions.BrokenAnswers,
            std::vector<std::string>{"the stream ended without an event"});
}

TEST_F(BrokenStreamTest, resumableStreamWithoutAnEventGoesOnAtAnotherRunner) {
  begin(RouteKind::ResumableStream);
  head(sound());
  Machine->onEnd(Millis(12));
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Broken);
  serveOneEvent();
  EXPECT_EQ(Actions.Body, "id: 1\ndata: a\n\n");
  expectComplete();
}

// Guards against runners that are ejected because callers ask for heads only.
TEST_F(BrokenStreamTest, responseToAHeadRequestHasNoEvents) {
  begin(RouteKind::Stream);
  http1::ResponseHead alone = sound();
  alone.Body = http1::Framing::None;
  head(alone);
  Machine->onEnd(Millis(12));
  EXPECT_EQ(Policy.Outcomes.at(1), AttemptOutcome::Served);
  expectComplete();
}

// A caller that has all events, but not the end, resumes the stream.
TEST_F(BrokenStreamTest, restOfAStreamMayBeEmpty) {
  begin(RouteKind::ResumableStream, 20);
  head(sound());
  Machine->onEnd(Millis(12));
  expectComplete();
}

} // namespace
