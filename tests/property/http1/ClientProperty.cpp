#include "property/http1/ScriptedServer.hpp"
#include "support/PropertyChecks.hpp"

#include "cowslipridge/core/Chrono.hpp"
#include "cowslipridge/http1/Client.hpp"

#include <boost/asio/io_context.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <ostream>
#include <thread>
#include <utility>

using namespace cowslipridge;
using namespace cowslipridge::http1;
using core::Millis;

namespace {

constexpr int Histories = 60;
constexpr Millis ConnectTimeout{20};
constexpr Millis CallTimeout{40};
constexpr Millis Excess{5};
constexpr std::size_t MaxConnections = 2;

/// What happens next in a history.
enum class Event {
  Call,
  StallBeyondConnectTimeout,
  StallBeyondCallTimeout,
  RunOneHandler,
  RunUntilIdle,
  Respond,
  RespondTwice,
  RespondToAnother,
  SendStrayRejection,
  Close,
  Reset,
  Cancel,
  Pause,
  Resume,
};

std::ostream &operator<<(std::ostream &out, Event event) {
  constexpr std::array Names = {"Call",
                                "StallBeyondConnectTimeout",
                                "StallBeyondCallTimeout",
                                "RunOneHandler",
                                "RunUntilIdle",
                                "Respond",
                                "RespondTwice",
                                "RespondToAnother",
                                "SendStrayRejection",
                                "Close",
                                "Reset",
                                "Cancel",
                                "Pause",
                                "Resume"};
  return out << Names.at(static_cast<std::size_t>(event));
}

/// The number selects a server, a connection or a call.
using Step = std::pair<Event, std::size_t>;

/// Records the end of a call and what is wrong with its events.
class CallObserver final : public CallEvents {
public:
  CallObserver(std::string id, const core::SystemClock &clock)
      : Id(std::move(id)), Clock(clock), StartedAt(clock.monotonic()) {}

  void onHead(const ResponseHead &head) override {
    note(head.Fields.find("Id") != Id, "a response to another call");
  }
  void onData(std::string_view data) override { Body += data; }
  void onEnd() override {
    note(Body != ScriptedServer::body(Id), "a body of another response");
    finish();
  }
  void onFailure(CallFailure failure) override {
    Failure = failure;
    note(failure == CallFailure::TimedOut &&
             Clock.monotonic() - StartedAt < CallTimeout,
         "timed out too early");
    finish();
  }
  /// Adds to Faults if `isFault`.
  void note(bool isFault, const std::string &fault) {
    if (isFault)
      Faults += " " + Id + ": " + fault + ";";
  }

  const std::string Id;
  bool Finished = false;
  bool Cancelled = false;
  std::optional<CallFailure> Failure;
  std::string Faults;

private:
  void finish() {
    note(Finished, "a second end");
    note(Cancelled, "an end after its cancellation");
    Finished = true;
  }

  const core::SystemClock &Clock;
  const Millis StartedAt;
  std::string Body;
};

/// Plays one history of a client and two servers.
class History {
public:
  void play(const Step &step) {
    const auto [event, number] = step;
    ScriptedServer &server = Servers.at(number % Servers.size());
    const std::size_t connection = number / Servers.size();
    switch (event) {
    case Event::Call:
      return call(server);
    case Event::StallBeyondConnectTimeout:
      return stall(ConnectTimeout + Excess);
    case Event::StallBeyondCallTimeout:
      return stall(CallTimeout + Excess);
    case Event::RunOneHandler:
      Loop.restart();
      Loop.poll_one();
      break;
    case Event::RunUntilIdle:
      Loop.restart();
      Loop.poll();
      break;
    case Event::Respond:
      return server.respond(connection, 1);
    case Event::RespondTwice:
      return server.respond(connection, 2);
    case Event::RespondToAnother:
      return server.write(connection, ScriptedServer::response("another"));
    case Event::SendStrayRejection:
      return server.write(
          connection, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
    case Event::Close:
      return server.close(connection);
    case Event::Reset:
      return server.reset(connection);
    case Event::Cancel:
    case Event::Pause:
    case Event::Resume:
      return steer(event, number);
    }
  }

  /// Lets all calls end.
  void finish() {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!allFinished() && std::chrono::steady_clock::now() < end) {
      Loop.restart();
      Loop.run_for(std::chrono::milliseconds(5));
    }
  }

  /// Returns what no history may show; empty if all is well.
  std::string faults() {
    std::string all;
    for (const auto &[observer, handle] : Calls) {
      const int received = timesReceived(observer->Id);
      const bool isOpen = !observer->Finished && !observer->Cancelled;
      observer->note(received > 1, "received twice");
      observer->note(observer->Failure && isUnsent(*observer->Failure) &&
                         received > 0,
                     "received though it failed as not sent");
      observer->note(isOpen && received > 0 && !handle->progress().Sent,
                     "received though it is not sent");
      all += observer->Faults;
    }
    return all;
  }

  [[nodiscard]] bool allFinished() const {
    return std::all_of(Calls.begin(), Calls.end(), [](const auto &it) {
      return it.first->Finished || it.first->Cancelled;
    });
  }

private:
  void call(ScriptedServer &server) {
    const std::string id = "call-" + std::to_string(Calls.size());
    CallSpec spec;
    spec.Server = server.address();
    spec.Bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n";
    spec.EchoField = "Id";
    spec.EchoValue = id;
    spec.Timeout = CallTimeout;
    spec.MaxConnections = MaxConnections;
    const auto observer = std::make_shared<CallObserver>(id, Clock);
    Calls.emplace_back(observer, HttpClient.call(std::move(spec), observer));
  }

  static ClientLimits limits() {
    ClientLimits limits;
    limits.ConnectTimeout = ConnectTimeout;
    return limits;
  }

  static void stall(Millis length) {
    std::this_thread::sleep_for(core::toChrono(length));
  }

  void steer(Event event, std::size_t number) {
    if (Calls.empty())
      return;
    const auto &[observer, handle] = Calls.at(number % Calls.size());
    if (event == Event::Pause)
      return handle->pause();
    if (event == Event::Resume)
      return handle->resume();
    observer->Cancelled = !observer->Finished;
    handle->cancel();
  }

  int timesReceived(const std::string &id) {
    int times = 0;
    for (ScriptedServer &it : Servers) {
      it.receive();
      times += it.received(id);
    }
    return times;
  }

  boost::asio::io_context Loop{1};
  core::SystemClock Clock;
  std::array<ScriptedServer, 2> Servers;
  Client HttpClient{Loop, Clock, limits()};
  std::vector<std::pair<std::shared_ptr<CallObserver>, std::shared_ptr<Call>>>
      Calls;
};

rc::Gen<Step> anyStep() {
  const auto event =
      rc::gen::weightedElement<Event>({{6, Event::Call},
                                       {2, Event::StallBeyondConnectTimeout},
                                       {1, Event::StallBeyondCallTimeout},
                                       {4, Event::RunOneHandler},
                                       {6, Event::RunUntilIdle},
                                       {5, Event::Respond},
                                       {2, Event::RespondTwice},
                                       {1, Event::RespondToAnother},
                                       {2, Event::SendStrayRejection},
                                       {1, Event::Close},
                                       {1, Event::Reset},
                                       {1, Event::Cancel},
                                       {1, Event::Pause},
                                       {1, Event::Resume}});
  return rc::gen::pair(event, rc::gen::inRange<std::size_t>(0, 4));
}

// Guards against a request that runs at two runners: a call must not fail as
// not sent, or get a response, by an event that concerns another call or that
// is older than the call itself.
TEST(ClientProperty, callsEndOnlyByTheirOwnEvents) {
  support::expectHolds(Histories, [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    History history;
    for (const Step &it : steps) {
      history.play(it);
      RC_ASSERT(history.faults() == "");
    }
    history.finish();
    RC_ASSERT(history.allFinished());
    RC_ASSERT(history.faults() == "");
  });
}

} // namespace
