#include "cowslipridge/http1/Server.hpp"

#include "support/Loopback.hpp"
#include "support/PropertyChecks.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace cowslipridge;
using namespace cowslipridge::http1;
using core::Millis;

namespace {

constexpr int Histories = 100;
constexpr std::size_t MaxSteps = 14;
constexpr Millis HeadLimit{20};
constexpr Millis IdleLimit{25};
constexpr Millis SettleLimit{5'000};
/// Takes several reads.
constexpr std::size_t LongPart = 9'000;

enum class Action { Send, SendRest, SendNextToo, Turn, Stall, Answer, Close };

struct Step {
  Action Kind = Action::Turn;
  unsigned Amount = 0; ///< percent of a request, or milliseconds
};

void showValue(const Step &step, std::ostream &out) {
  out << static_cast<int>(step.Kind) << ':' << step.Amount;
}

/// A client that sends requests over one connection to a server that stands
/// still from time to time. Checks the server against what was sent, and when.
class ServerSimulation {
public:
  ServerSimulation()
      : Callers(Loop, Clock, [this](auto it) { onRequest(std::move(it)); }),
        Peer(Loop) {
    ServerLimits limits;
    limits.HeaderTimeout = HeadLimit;
    limits.IdleTimeout = IdleLimit;
    Callers.setLimits(limits);
    Callers.listen(address());
    IdleSince = Clock.monotonic();
    Peer.connect(address());
    Peer.non_blocking(true);
    // The limit counts from here; until then the connection isn't accepted.
    run([&] { return Callers.connections() == 1; });
  }

  void apply(const Step &step) {
    switch (step.Kind) {
    case Action::Send:
      send(textOf(Next).size() * step.Amount / 100);
      return;
    case Action::SendRest:
      send(textOf(Next).size());
      return;
    case Action::SendNextToo:
      send(textOf(Next).size());
      send(textOf(Next).size());
      return;
    case Action::Turn:
      turn();
      return;
    case Action::Stall:
      std::this_thread::sleep_for(std::chrono::milliseconds(step.Amount));
      return;
    case Action::Answer:
      answer(step.Amount % 2 == 0);
      return;
    case Action::Close:
      Peer.close();
      Closed = true;
    }
  }

  /// Runs until all that the server owes the client has arrived.
  void settle() {
    if (Closed) {
      run([&] { return Callers.connections() == 0; });
      return;
    }
    while (!Violation && !Ended && Answered < Due) {
      run([&] { return Ended || Current != nullptr; });
      answer(true);
    }
    run([&] { return Ended || Received.size() >= Expected.size(); });
    check();
  }

  std::optional<std::string> Violation;

private:
  /// The same in all histories, of which there may be more than ports.
  static const Endpoint &address() {
    static const Endpoint Address(
        boost::asio::ip::make_address(support::loopbackAddress()),
        support::nextPort());
    return Address;
  }
  static std::string idOf(std::size_t number) {
    return "/" + std::to_string(number) + ".";
  }
  // Long heads and bodies alternate with short ones.
  static std::string textOf(std::size_t number) {
    const std::string start = idOf(number) + " HTTP/1.1\r\nHost: h\r\nFiller: ";
    const std::string filler(number % 2 == 0 ? LongPart : 1, 'x');
    if (number % 3 == 0)
      return "GET " + start + filler + "\r\n\r\n";
    const std::string body(number % 3 * LongPart, 'b');
    return "POST " + start + filler +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  // Writes at most `size` bytes of the current request, and none before the one
  // but last was answered: more would not fit the buffers of the socket.
  void send(std::size_t size) {
    if (Closed || Ended || Next > Answered + 1)
      return;
    const std::string text = textOf(Next);
    const std::string part = text.substr(Sent, std::min(size, text.size()));
    if (part.empty())
      return;
    if (Sent == 0)
      BegunAt = Clock.monotonic();
    boost::system::error_code ec;
    Sent += boost::asio::write(Peer, boost::asio::buffer(part), ec);
    if (Sent == text.size())
      onSent();
  }

  void onSent() {
    const bool wasInTime = Clock.monotonic() - BegunAt < HeadLimit &&
                           (Next > Answered || BegunAt - IdleSince < IdleLimit);
    // An answer is owed only if those before are.
    if (wasInTime && Due == Next)
      ++Due;
    ++Next;
    Sent = 0;
  }

  void onRequest(std::shared_ptr<Exchange> exchange) {
    if (Current)
      fail("a request was passed on before the one before was answered");
    if (HandedOver >= Next || exchange->head().Target != idOf(HandedOver))
      fail("passed on out of order, again, or before it was complete: " +
           exchange->head().Target);
    ++HandedOver;
    Current = std::move(exchange);
  }

  void answer(bool atOnce) {
    if (!Current || Closed)
      return;
    const std::string body = "answer to " + idOf(Answered);
    ResponseHead head;
    Expected += body;
    ++Answered;
    IdleSince = Clock.monotonic();
    const auto exchange = std::exchange(Current, nullptr);
    if (atOnce) {
      exchange->respond(std::move(head), body);
      return;
    }
    head.Body = Framing::Length;
    head.Length = body.size();
    exchange->begin(std::move(head));
    exchange->send(body.substr(0, 3));
    turn();
    exchange->send(body.substr(3));
    exchange->end();
  }

  void turn() {
    Loop.restart();
    Loop.poll();
    receive();
  }

  template <typename Condition> void run(Condition condition) {
    const Millis end = Clock.monotonic() + SettleLimit;
    while (!condition() && !Violation) {
      if (Clock.monotonic() > end)
        fail("nothing happens any more");
      turn();
    }
  }

  // Keeps the bodies of answers, and notes the end of the connection.
  void receive() {
    std::array<char, 4096> chunk{};
    boost::system::error_code ec;
    while (Peer.is_open() && !ec) {
      const std::size_t size = Peer.read_some(boost::asio::buffer(chunk), ec);
      Raw.append(chunk.data(), size);
    }
    if (Peer.is_open() && ec != boost::asio::error::would_block)
      Ended = true;
    readAnswers();
  }

  void readAnswers() {
    const std::string headEnd = "\r\n\r\n";
    for (auto at = Raw.find(headEnd); at != std::string::npos;
         at = Raw.find(headEnd)) {
      const bool isAnswer = Raw.starts_with("HTTP/1.1 200 ");
      const auto length = std::stoul(Raw.substr(Raw.find("Length: ") + 8));
      const std::size_t begin = at + headEnd.size();
      if (Raw.size() < begin + length)
        return;
      if (isAnswer)
        Received += Raw.substr(begin, length);
      else
        onRejected(Raw.substr(0, at));
      Raw.erase(0, begin + length);
    }
  }

  void onRejected(const std::string &head) {
    if (!head.starts_with("HTTP/1.1 408 "))
      fail("rejected: " + head);
    if (HandedOver > Answered)
      fail("408 while a request that was passed on waits for its answer");
    Ended = true;
  }

  void check() {
    if (Answered < Due)
      fail("request " + idOf(Answered) + " was sent in time, not passed on");
    if (Received != Expected)
      fail("received '" + Received + "' instead of '" + Expected + "'");
  }

  void fail(const std::string &what) {
    if (!Violation)
      Violation = what;
  }

  boost::asio::io_context Loop{1};
  core::SystemClock Clock;
  Server Callers;
  Socket Peer;
  std::size_t Next = 0;       ///< number of the request that is sent
  std::size_t Sent = 0;       ///< bytes of it
  std::size_t Due = 0;        ///< number of requests that were sent in time
  std::size_t HandedOver = 0; ///< number of requests
  std::size_t Answered = 0;   ///< number of requests
  Millis BegunAt;             ///< when the first byte of the request was sent
  Millis IdleSince;           ///< when the server began to wait, or before
  std::shared_ptr<Exchange> Current;
  std::string Raw;      ///< received, and not parsed yet
  std::string Received; ///< bodies of answers
  std::string Expected;
  bool Closed = false; ///< by the client
  bool Ended = false;  ///< by the server
};

rc::Gen<Step> genStep() {
  using rc::gen::element;
  const auto kind = rc::gen::weightedElement<Action>({{4, Action::Send},
                                                      {4, Action::SendRest},
                                                      {2, Action::SendNextToo},
                                                      {4, Action::Turn},
                                                      {4, Action::Stall},
                                                      {3, Action::Answer},
                                                      {1, Action::Close}});
  return rc::gen::build<Step>(
      rc::gen::set(&Step::Kind, kind),
      rc::gen::set(&Step::Amount, rc::gen::inRange(1U, 40U)));
}

// Guards against callers that are told 408, or find their connection closed,
// because the server stood still while their requests arrived.
TEST(ServerProperty, requestsThatAreSentInTimeAreAnsweredOnce) {
  support::expectHolds(Histories, [] {
    const auto steps = *rc::gen::resize(
        MaxSteps, rc::gen::container<std::vector<Step>>(
                      rc::gen::resize(rc::kNominalSize, genStep())));
    ServerSimulation simulation;
    for (const Step &it : steps)
      simulation.apply(it);
    simulation.settle();
    if (simulation.Violation)
      RC_FAIL(*simulation.Violation);
  });
}

} // namespace
