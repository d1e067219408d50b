#include "exposure/FleetTrial.hpp"

#include "cowslipridge/core/Visit.hpp"

#include <functional>
#include <memory>
#include <queue>

namespace cowslipridge::exposure {

namespace {

using rollout::AdvanceStep;
using rollout::CutOff;
using rollout::ExposureGuard;

const core::VersionId Old("old");
const core::VersionId Trial("new");

class FleetRun {
public:
  FleetRun(const Scenario &scenario, std::uint64_t seed,
           const FleetShape &shape)
      : Shape(shape), Load(scenario, seed), Service(declareService()) {
    const unsigned total = shape.TrialSidecars + shape.OldSidecars;
    for (unsigned i = 0; i < total; ++i) {
      const core::InstanceId name("sidecar-" + std::to_string(i));
      Guards.push_back(std::make_unique<ExposureGuard>(
          rollout::EvidenceSource{name, core::Incarnation(1)}, seed));
      Guards.back()->setPeers(i, shape.TrialSidecars);
      Guards.back()->configure(Service);
    }
  }

  RunResult run() {
    at(Load.nextGap(), [this] { onArrival(); });
    at(Shape.GossipInterval, [this] { gossip(); });
    while (!IsOver && !Tasks.empty() && Tasks.top().At <= Shape.Length) {
      const Task task = Tasks.top();
      Tasks.pop();
      Now = task.At;
      task.Run();
    }
    return Result;
  }

private:
  struct Task {
    core::Millis At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Task &other) const {
      return At != other.At ? At > other.At : Order > other.Order;
    }
  };

  void at(core::Millis time, std::function<void()> task) {
    Tasks.push({time, LastOrder++, std::move(task)});
  }

  void onArrival() {
    at(Now + Load.nextGap(), [this] { onArrival(); });
    const unsigned organisation = Load.nextOrganisation();
    const double share = Guards.front()->trialShare();
    const bool wantsTrial = core::uniform(Load.random()) < share;
    if (!wantsTrial || !serveByTrial(organisation))
      serve(Shape.TrialSidecars +
                core::uniformIndex(Load.random(), Shape.OldSidecars),
            false, organisation);
  }

  // Tries the trial version's sidecars one after another until one admits the
  // request.
  bool serveByTrial(unsigned organisation) {
    const std::size_t first =
        core::uniformIndex(Load.random(), Shape.TrialSidecars);
    for (std::size_t i = 0; i < Shape.TrialSidecars; ++i) {
      const std::size_t sidecar = (first + i) % Shape.TrialSidecars;
      if (!Guards[sidecar]->admits(Trial, organisationOf(organisation)))
        continue;
      serve(sidecar, true, organisation);
      return true;
    }
    return false;
  }

  void serve(std::size_t sidecar, bool isTrial, unsigned organisation) {
    const core::RequestId request(std::to_string(LastRequest++));
    Guards[sidecar]->onStart(request, isTrial ? Trial : Old,
                             organisationOf(organisation), Now);
    if (isTrial && Load.isBad(organisation, Now))
      ++Result.BadServed;
    const double score = Load.score(isTrial, organisation, Now);
    const auto graded = Load.gradeAt(Now);
    if (!graded)
      return;
    at(*graded,
       [=, this] { act(Guards[sidecar]->onGrade(request, score, Now)); });
  }

  // Sends changed evidence to the other sidecars, as messages between daemons
  // do.
  void gossip() {
    at(Now + Shape.GossipInterval, [this] { gossip(); });
    for (const auto &it : Guards)
      it->advance(Now);
    for (std::size_t i = 0; i < Guards.size(); ++i) {
      for (const rollout::EvidenceRecord &record :
           Guards[i]->takeChangedEvidence(MaxRecords)) {
        if (record.Source.Instance.str() == "sidecar-" + std::to_string(i))
          broadcast(i, record);
      }
    }
  }

  void broadcast(std::size_t from, const rollout::EvidenceRecord &record) {
    for (std::size_t i = 0; i < Guards.size(); ++i) {
      if (i == from)
        continue;
      const auto extra = static_cast<std::int64_t>(core::uniformIndex(
          Load.random(), static_cast<std::size_t>(Shape.GossipDelay.count())));
      at(Now + Shape.GossipDelay + core::Millis(extra),
         [=, this] { act(Guards[i]->onEvidence(record, Now)); });
    }
  }

  void act(const rollout::RolloutActions &actions) {
    for (const rollout::RolloutAction &it : actions)
      std::visit(core::Overloaded{[&](const CutOff &x) { onCutOff(x); },
                                  [&](const AdvanceStep &x) { onStep(x); }},
                 it);
  }

  // Counts the cut-off as false unless it excludes only bad answers.
  void onCutOff(const CutOff &cutOff) {
    const Scenario &scenario = Load.scenario();
    const bool excludesOnlyBad =
        cutOff.Version == Trial && scenario.TrialIsBad &&
        Now >= scenario.BadFrom &&
        (!scenario.OneOrganisation || cutOff.Organisation == organisationOf(0));
    if (!excludesOnlyBad)
      Result.FalseCutOff = true;
    else if (!Result.CutOffAt)
      Result.CutOffAt = Now - scenario.BadFrom;
    at(Now + Shape.RecordDelay, [=, this] {
      for (const auto &it : Guards)
        it->onCutOff(cutOff);
      // After the first correct cut-off is recorded, the trial version serves
      // no further bad answer.
      IsOver = Result.CutOffAt.has_value();
    });
  }

  // The stored record accepts each step once.
  void onStep(const AdvanceStep &action) {
    if (action.Step != Step)
      return;
    ++Step;
    if (Step == Service.Rollout->Steps.size() && !Result.FullShareAt)
      Result.FullShareAt = Now;
    at(Now + Shape.RecordDelay, [this, step = Step] {
      for (const auto &it : Guards)
        it->setStep(step);
    });
  }

  static constexpr std::size_t MaxRecords = 10'000;

  FleetShape Shape;
  Workload Load;
  config::ServiceDeclaration Service;
  std::vector<std::unique_ptr<ExposureGuard>> Guards;
  std::priority_queue<Task> Tasks;
  std::uint64_t LastOrder = 0;
  std::uint64_t LastRequest = 0;
  unsigned Step = 0;
  bool IsOver = false;
  core::Millis Now;
  RunResult Result;
};

} // namespace

RunResult runFleet(const Scenario &scenario, std::uint64_t seed,
                   const FleetShape &shape) {
  return FleetRun(scenario, seed, shape).run();
}

} // namespace cowslipridge::exposure
