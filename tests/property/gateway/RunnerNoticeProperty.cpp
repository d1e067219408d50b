#include "cowslipridge/gateway/Dispatcher.hpp"

#include "support/ModelCatalogue.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace cowslipridge;
using namespace cowslipridge::gateway;
using core::Millis;

namespace {

constexpr int Histories = 3'000;
constexpr int MaxEvents = 80;
constexpr std::size_t RunnerCount = 4;

/// Simulates runners that announce their shutdown, ask for backoffs, restart
/// under their ids or vanish from the store, and a gateway that sends requests
/// to them.
class NoticeSimulation {
public:
  /// If not `hearsNotices`, the gateway never receives what runners state.
  explicit NoticeSimulation(bool hearsNotices)
      : HearsNotices(hearsNotices), Gateway(settings()) {
    Gateway.setCatalogue(Declared);
    for (std::size_t n = 0; n < RunnerCount; ++n)
      restart(n);
  }

  void advance(Millis time) {
    Now = Now + time;
    for (const core::RunnerId &it : Gateway.servers().tick(Now))
      Gateway.removeServer(it);
  }

  void restart(std::size_t runner) {
    BackendServer &entry = Entries[runner];
    entry.Id = core::RunnerId("r" + std::to_string(runner));
    entry.Service = support::ModelService;
    entry.Version = core::VersionId("v1");
    entry.StartedAt = Now;
    Gateway.removeServer(entry.Id);
    writeEntry(runner);
    BackoffEnds.erase(entry.Id);
  }
  /// The store names the runner again, for example in an older copy.
  void writeEntry(std::size_t runner) {
    Gateway.servers().put(Entries.at(runner));
  }
  /// The entry expires, though the runner is alive.
  void removeEntry(std::size_t runner) {
    const core::RunnerId &id = Entries.at(runner).Id;
    if (Gateway.servers().remove(id, Now))
      Gateway.removeServer(id);
  }
  void listAll(bool afterRestore) {
    std::vector<BackendServer> listed;
    for (const auto &[n, entry] : Entries)
      listed.push_back(entry);
    const auto kept = Gateway.servers().reconcile(listed, afterRestore, Now);
    for (const core::RunnerId &it : Gateway.servers().replaceAll(kept, Now))
      Gateway.removeServer(it);
  }

  /// Sends a request and checks that the chosen runner takes requests.
  void send(AttemptKind kind, ModelTier tier) {
    const auto result = Gateway.place(makeRequest(), tier, {}, kind, Now);
    if (const auto *none = std::get_if<NoPlacement>(&result)) {
      checkRejection(*none);
      return;
    }
    const auto &placement = std::get<Placement>(result);
    const BackendServer &runner = entryOf(placement.Runner);
    RC_ASSERT_FALSE(Left.contains({runner.Id, runner.StartedAt}));
    RC_ASSERT(backoffEnd(runner.Id) <= Now);
    Open.push_back({placement.Ticket, runner.Id, runner.StartedAt});
  }

  /// The oldest request is answered; the runner may state something.
  void answer(bool leaving, std::optional<Millis> backoff) {
    if (Open.empty())
      return;
    const Attempt attempt = Open.front();
    Open.erase(Open.begin());
    ResponseAttributes response;
    response.Status = backoff ? 503 : 200;
    response.RunnerLeaving = leaving && HearsNotices;
    if (HearsNotices)
      response.Backoff = backoff;
    Gateway.onHead(attempt.Ticket, response, Now);
    Gateway.onEnded(attempt.Ticket,
                    backoff ? AttemptOutcome::Rejected : AttemptOutcome::Served,
                    Now);
    if (leaving)
      Left.insert({attempt.Runner, attempt.StartedAt});
    const bool isCurrent =
        entryOf(attempt.Runner).StartedAt == attempt.StartedAt;
    if (backoff && isCurrent) {
      Millis &end = BackoffEnds[attempt.Runner];
      end = std::max(end, Now + *backoff);
    }
  }

private:
  using BackendServer = membership::BackendServer;
  struct Attempt {
    std::uint64_t Ticket;
    core::RunnerId Runner;
    Millis StartedAt;
  };

  static config::GatewaySettings settings() {
    config::GatewaySettings settings;
    settings.Instance = core::InstanceId("gateway-1");
    settings.Retries = {1, 1'000, Millis(10'000)};
    return settings;
  }
  [[nodiscard]] RequestContext makeRequest() {
    RequestContext context;
    context.Caller.Id = core::RequestId("id-" + std::to_string(++Requests));
    context.Caller.AnyModel = true;
    context.Caller.Prompt = {{1, 100}, {1'000 + Requests, 100}};
    context.Caller.PromptTokens = 200;
    context.Catalogue = Declared;
    context.Route = &Declared->catalogue().Routes.front();
    context.ArrivedAt = Now;
    context.Deadline = Now + Millis(60'000);
    return context;
  }
  [[nodiscard]] const BackendServer &entryOf(const core::RunnerId &id) const {
    for (const auto &[n, entry] : Entries) {
      if (entry.Id == id)
        return entry;
    }
    throw std::logic_error("unknown runner " + id.str());
  }
  [[nodiscard]] Millis backoffEnd(const core::RunnerId &id) const {
    const auto it = BackoffEnds.find(id);
    return it == BackoffEnds.end() ? Millis() : it->second;
  }
  /// A rejected caller is told when the first runner takes requests again, not
  /// earlier and not later.
  void checkRejection(const NoPlacement &none) const {
    std::optional<Millis> earliest;
    for (const auto &[id, server] : Gateway.servers().all()) {
      if (!server.Draining && !Left.contains({id, server.StartedAt}))
        earliest = std::min(earliest.value_or(backoffEnd(id)), backoffEnd(id));
    }
    if (!earliest)
      return;
    RC_ASSERT(*earliest > Now);
    RC_ASSERT(none.RetryAfter == std::max(MinRetryAfter, *earliest - Now));
  }

  bool HearsNotices;
  catalogue::CataloguePtr Declared = support::modelCatalogue();
  mutable Dispatcher Gateway;
  Millis Now{100'000};
  std::uint64_t Requests = 0;
  std::map<std::size_t, BackendServer> Entries;
  std::vector<Attempt> Open;
  /// Incarnations that announced their shutdown.
  std::set<std::pair<core::RunnerId, Millis>> Left;
  std::map<core::RunnerId, Millis> BackoffEnds;
};

void applyRandomEvent(NoticeSimulation &simulation) {
  const auto runner = *rc::gen::inRange<std::size_t>(0, RunnerCount);
  simulation.advance(Millis(*rc::gen::inRange(1, 700)));
  switch (*rc::gen::inRange(0, 10)) {
  case 0:
    simulation.restart(runner);
    break;
  case 1:
    simulation.writeEntry(runner);
    break;
  case 2:
    simulation.removeEntry(runner);
    break;
  case 3:
    simulation.listAll(*rc::gen::arbitrary<bool>());
    break;
  case 4:
    simulation.answer(true, std::nullopt);
    break;
  case 5:
    simulation.answer(false, Millis(*rc::gen::inRange(1, 3'000)));
    break;
  case 6:
    simulation.answer(false, std::nullopt);
    break;
  default:
    simulation.send(*rc::gen::element(AttemptKind::First, AttemptKind::Retry,
                                      AttemptKind::Escalate),
                    *rc::gen::inRange<std::size_t>(0, 2));
    break;
  }
}

void checkHistory(bool hearsNotices) {
  NoticeSimulation simulation(hearsNotices);
  const int events = *rc::gen::inRange(1, MaxEvents);
  for (int n = 0; n < events; ++n)
    applyRandomEvent(simulation);
}

TEST(RunnerNoticeProperty, runnersGetNoRequestsThatTheyDoNotWant) {
  support::expectHolds(Histories, [] { checkHistory(true); });
}

// The counterpart: requests go on to runners whose statements are ignored.
TEST(RunnerNoticeProperty, runnersGetUnwantedRequestsIfNoticesAreIgnored) {
  support::expectViolated(Histories, [] { checkHistory(false); });
}

} // namespace
