#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/limits/Admission.hpp"
#include "support/PropertyChecks.hpp"

#include <map>

using namespace cowslipridge;
using namespace cowslipridge::limits;

namespace {

constexpr int Histories = 10'000;
constexpr int StepsPerHistory = 60;

enum class Phase { Asked, Queued, Started, Ended };

/// Drives one Admission with random events and checks each action.
class History {
public:
  explicit History(std::uint64_t seed)
      : Generator(seed), Settings(drawSettings()), Tested(Settings, seed) {}

  void run() {
    for (int n = 0; n < StepsPerHistory; ++n) {
      Now = Now + core::Millis(static_cast<std::int64_t>(draw(200)));
      step();
      RC_ASSERT(Tested.inFlight() <= Settings.MaxConcurrency);
      RC_ASSERT(Tested.inFlight() == countIn(Phase::Started));
      RC_ASSERT(Tested.queued() == countIn(Phase::Queued));
    }
    endAll();
  }

private:
  struct Known {
    Arrival Asked;
    Phase Now = Phase::Asked;
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
    Requests[arrival.Request] = {arrival, Phase::Asked, {}};
    apply(Tested.arrive(arrival, Now));
    RC_ASSERT(Requests[arrival.Request].Now != Phase::Asked);
  }

  std::vector<core::RequestId> listIn(Phase phase) const {
    std::vector<core::RequestId> found;
    for (const auto &[request, known] : Requests) {
      if (known.Now == phase)
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
    Known &known = Requests[request];
    known.Now = Phase::Ended;
    apply(Tested.finish(request, Now - known.StartedAt, draw(8) == 0, Now));
  }

  void cancelOne() {
    const auto phase = draw(2) == 0 ? Phase::Started : Phase::Queued;
    const auto live = listIn(phase);
    if (live.empty())
      return;
    const core::RequestId &request = live[draw(live.size())];
    Requests[request].Now = Phase::Ended;
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
    Known &known = Requests.at(action.Request);
    RC_ASSERT(known.Now == Phase::Asked || known.Now == Phase::Queued);
    RC_ASSERT(Now < known.Asked.Deadline);
    known.Now = Phase::Started;
    known.StartedAt = Now;
  }

  void onQueue(const QueueRequest &action) {
    Known &known = Requests.at(action.Request);
    RC_ASSERT(known.Now == Phase::Asked);
    known.Now = Phase::Queued;
  }

  void onRefuse(const RefuseRequest &action) {
    Known &known = Requests.at(action.Request);
    RC_ASSERT(known.Now == Phase::Asked || known.Now == Phase::Queued);
    RC_ASSERT(action.RetryAfter > core::Millis(0));
    known.Now = Phase::Ended;
  }

  core::Random Generator;
  AdmissionSettings Settings;
  Admission Tested;
  core::Millis Now{1000};
  std::map<core::RequestId, Known> Requests;
};

TEST(AdmissionProperties, conservesRequests) {
  support::expectHolds(Histories,
                       [](std::uint64_t seed) { History(seed).run(); });
}

} // namespace
