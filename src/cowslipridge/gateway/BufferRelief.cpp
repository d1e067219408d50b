#include "cowslipridge/gateway/BufferRelief.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace cowslipridge::gateway {

namespace {

/// Shortest time between two warnings.
constexpr core::Millis WarningGap{1'000};
/// A connection that holds less is ended only if nothing else frees any bytes.
constexpr std::size_t SmallHolding = 32UL * 1024;

std::shared_ptr<RequestFlow> largestOf(const FlowContext &flows) {
  std::shared_ptr<RequestFlow> largest;
  for (const auto &it : flows.Active) {
    const auto flow = it.lock();
    if (flow &&
        (!largest || flow->droppableBytes() > largest->droppableBytes()))
      largest = flow;
  }
  return largest;
}

} // namespace

void BufferRelief::schedule() {
  if (!std::exchange(Scheduled, true))
    boost::asio::post(Flows.Loop, [this] { relieve(); });
}

void BufferRelief::relieve() {
  Scheduled = false;
  report();
  while (Flows.Buffers.isExceeded() && endOne()) {
  }
}

// Requests that have reached no runner go before responses.
bool BufferRelief::endOne() {
  return EndConnection(SmallHolding) || breakAttempt() || EndConnection(1);
}

bool BufferRelief::breakAttempt() {
  const auto largest = largestOf(Flows);
  if (!largest || largest->droppableBytes() == 0)
    return false;
  largest->onBuffersExceeded();
  return true;
}

void BufferRelief::report() {
  const core::Millis now = Flows.Clock.monotonic();
  if (now - ReportedAt < WarningGap)
    return;
  ReportedAt = now;
  Flows.Log.report(
      observe::EventNumber::BuffersFull,
      {.Request = {},
       .Version = {},
       .Cause = {},
       .Detail = "used=" + std::to_string(Flows.Buffers.used()) +
                 " limit=" + std::to_string(Flows.Buffers.limit()) +
                 " waiting=" + std::to_string(Flows.Buffers.waiting())});
}

} // namespace cowslipridge::gateway
