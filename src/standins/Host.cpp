#include "standins/Host.hpp"

#include "standins/FaultyResponder.hpp"

#include <utility>

namespace cowslipridge::standins {

namespace {

/// Exceeds every limit that the stand-ins check themselves, so that they send
/// the rejection.
constexpr std::size_t MaxBodyBytes = std::size_t{32} * 1024 * 1024;
constexpr std::string_view DebugPrefix = "/debug/";

http::ServerSettings listenAt(const std::string &address, std::uint16_t port) {
  http::ServerSettings settings;
  settings.Address = address;
  settings.Port = port;
  settings.MaxBodyBytes = MaxBodyBytes;
  return settings;
}

} // namespace

Host::Host(const std::string &address, std::uint16_t port,
           std::shared_ptr<Scheduler> timer, std::shared_ptr<StandIn> service)
    : State(std::make_shared<Shared>()),
      Listener(listenAt(address, port),
               [state = State](http::Request request,
                               std::shared_ptr<http::Responder> responder) {
                 handle(state, std::move(request), std::move(responder));
               }) {
  State->Timer = std::move(timer);
  State->Service = std::move(service);
}

Host::~Host() { close(); }

std::error_code Host::open() { return Listener.open(); }

void Host::close() { Listener.close(); }

void Host::handle(const std::shared_ptr<Shared> &shared, http::Request request,
                  std::shared_ptr<http::Responder> responder) {
  if (request.Target.starts_with(DebugPrefix)) {
    responder->respond(debug(*shared, request));
    return;
  }
  core::Millis delay;
  {
    const std::lock_guard lock(shared->Guard);
    ++shared->Calls;
    if (shared->Active.Down == Outage::Hang) {
      shared->HeldResponders.push_back(std::move(responder));
      return;
    }
    delay = shared->Active.Delay;
  }
  if (delay == core::Millis(0)) {
    serve(shared, std::move(request), std::move(responder));
    return;
  }
  shared->Timer->after(delay, [shared, request = std::move(request),
                               responder = std::move(responder)]() mutable {
    serve(shared, std::move(request), std::move(responder));
  });
}

void Host::serve(const std::shared_ptr<Shared> &shared, http::Request request,
                 std::shared_ptr<http::Responder> responder) {
  std::unique_lock lock(shared->Guard);
  const Faults faults = shared->Active;
  if (faults.Down == Outage::Refuse || faults.Status != 0) {
    lock.unlock();
    const int status = faults.Status != 0 ? faults.Status : 503;
    responder->respond(http::makeJson(
        status, R"({"error":"outage or status fault is enabled"})"));
    return;
  }
  const bool loseReply = shouldLoseReply(*shared);
  lock.unlock();
  shared->Service->serve(std::move(request),
                         std::make_shared<FaultyResponder>(std::move(responder),
                                                           faults, loseReply));
}

bool Host::shouldLoseReply(Shared &shared) {
  if (shared.Active.LoseReplies > 0) {
    --shared.Active.LoseReplies;
    return true;
  }
  const double chance = shared.Active.LoseReplyChance;
  return chance > 0 && core::uniform(shared.Random) < chance;
}

http::Response Host::debug(Shared &shared, const http::Request &request) {
  const std::string path = request.path();
  if (path == "/debug/faults" && request.Method == "PUT")
    return replaceFaults(shared, request.Body);
  if (path == "/debug/faults" || path == "/debug/calls") {
    const std::lock_guard lock(shared.Guard);
    if (path == "/debug/faults")
      return http::makeJson(200, toJson(shared.Active));
    if (auto own = shared.Service->debug(request))
      return *own;
    return http::makeJson(200,
                          R"({"calls":)" + std::to_string(shared.Calls) + "}");
  }
  if (auto response = shared.Service->debug(request))
    return *response;
  return http::makeProblem({"unknown-page", "No such page", 404, path});
}

http::Response Host::replaceFaults(Shared &shared, const std::string &body) {
  const auto faults = parseFaults(body);
  if (!faults)
    return http::makeProblem({"malformed",
                              "Body is not a JSON object of known faults", 400,
                              "See docs/testing.md."});
  std::vector<std::shared_ptr<http::Responder>> released;
  {
    const std::lock_guard lock(shared.Guard);
    shared.Active = *faults;
    shared.Random.seed(faults->Seed);
    if (faults->Down != Outage::Hang)
      released.swap(shared.HeldResponders);
  }
  shared.Service->setFaults(*faults);
  for (const auto &it : released)
    it->abort();
  return http::makeJson(200, toJson(*faults));
}

} // namespace cowslipridge::standins
