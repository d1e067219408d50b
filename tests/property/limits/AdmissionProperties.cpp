#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/limits/Admission.hpp"
#include "support/PropertyChecks.hpp"

#include <map>

using namespace cowslipridge;
using namespace cowslipridge::limits;

namespace {

constexpr int Sequences = 10'000;
constexpr int StepsPerSequence = 60;

enum class Phase { Submitted, Queued, Started, Ended };

/// Generated sequence of events for one Admission; checks each action.
class EventSequence {
public:
  explicit EventSequence(std::uint64_t seed)
      : Generator(seed), Settings(drawSettings()), Tested(Settings, seed) {}

  void run() {
    for (int n = 0; n < StepsPerSequence; ++n) {
      Now = Now + core::Millis(static_cast<std::int64_t>(draw(200)));
      step();
      RC_ASSERT(Tested.inFlight() <= Settings.MaxConcurrency);
      RC_ASSERT(Tested.inFlight() == countIn(Phase::Started));
      RC_ASSERT(Tested.queued() == countIn(Phase::Queued));
    }
    endAll();
  }

private:
  struct RequestState {
    Arrival Request;
    Phase Current = Phase::Submitted;
    core::Millis StartedAt;
  };

  std::size_t draw(std::size_t size) {
    return core::uniformIndex(Generator, size);
  }

  AdmissionSettings drawSettings() {
    return {static_cast<unsigned>(1 + draw(6)), 1,
            static_cast<unsigned>(draw(10))};
  }

  void step() {
    const std::size_t kind = draw(10);
    if (kind < 5)
      arrive();
    else if (kind < 8)
      finishOne();
    else if (kind == 8)
      cancelOne();
    else
      apply(Tested.tick(Now));
  }

  void arrive() {
    Arrival arrival;
    arrival.Request = core::RequestId("r" + std::to_string(Requests.size()));
    arrival.Organisation = core::OrganisationId("o" + std::to_string(draw(3)));
    arrival.Weight = static_cast<unsigned>(draw(4));
    arrival.Deadline = Now +
                       core::Millis(static_cast<std::int64_t>(draw(5000))) -
                       core::Millis(100);
    arrival.ExpectedWork = core::Millis(static_cast<std::int64_t>(draw(1000)));
    arrival.Deferrable = draw(3) == 0;
    Requests[arrival.Request] = {arrival, Phase::Submitted, {}};
    apply(Tested.arrive(arrival, Now));
    RC_ASSERT(Requests[arrival.Request].Current != Phase::Submitted);
  }

  std::vector<core::RequestId> listIn(Phase phase) const {
    std::vector<core::RequestId> found;
    for (const auto &[request, state] : Requests) {
      if (state.Current == phase)
        found.push_back(request);
    }
    return found;
  }

  std::size_t countIn(Phase phase) const { return listIn(phase).size(); }

  void finishOne() {
    const auto started = listIn(Phase::Started);
    if (started.empty())
      return;
    finish(started[draw(started.size())]);
  }

  void finish(const core::RequestId &request) {
    RequestState &state = Requests[request];
    state.Current = Phase::Ended;
    apply(Tested.finish(request, Now - state.StartedAt, draw(8) == 0, Now));
  }

  void cancelOne() {
    const auto phase = draw(2) == 0 ? Phase::Started : Phase::Queued;
    const auto live = listIn(phase);
    if (live.empty())
      return;
    const core::RequestId &request = live[draw(live.size())];
    Requests[request].Current = Phase::Ended;
    apply(Tested.cancel(request, Now));
  }

  void endAll() {
    apply(Tested.refuseQueued(core::Errc::Leaving, Now));
    RC_ASSERT(countIn(Phase::Queued) == 0U);
    for (const core::RequestId &request : listIn(Phase::Started))
      finish(request);
    RC_ASSERT(countIn(Phase::Ended) == Requests.size());
  }

  void apply(const AdmissionActions &actions) {
    for (const AdmissionAction &action : actions) {
      std::visit(
          core::Overloaded{[this](const StartRequest &it) { onStart(it); },
                           [this](const QueueRequest &it) { onQueue(it); },
                           [this](const RefuseRequest &it) { onRefuse(it); }},
          action);
    }
  }

  void onStart(const StartRequest &action) {
    RequestState &state = Requests.at(action.Request);
    RC_ASSERT(state.Current == Phase::Submitted ||
              state.Current == Phase::Queued);
    RC_ASSERT(Now < state.Request.Deadline);
    state.Current = Phase::Started;
    state.StartedAt = Now;
  }

  void onQueue(const QueueRequest &action) {
    RequestState &state = Requests.at(action.Request);
    RC_ASSERT(state.Current == Phase::Submitted);
    state.Current = Phase::Queued;
  }

  void onRefuse(const RefuseRequest &action) {
    RequestState &state = Requests.at(action.Request);
    RC_ASSERT(state.Current == Phase::Submitted ||
              state.Current == Phase::Queued);
    RC_ASSERT(action.RetryAfter > core::Millis(0));
    state.Current = Phase::Ended;
  }

  core::Random Generator;
  AdmissionSettings Settings;
  Admission Tested;
  core::Millis Now{1000};
  std::map<core::RequestId, RequestState> Requests;
};

TEST(AdmissionProperties, endsEachRequestExactlyOnce) {
  support::expectHolds(Sequences,
                       [](std::uint64_t seed) { EventSequence(seed).run(); });
}

} // namespace
