#include "cost/Policies.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/route/Planner.hpp"
#include "support/EventQueue.hpp"

namespace cowslipridge::bench::cost {

namespace {

constexpr core::Millis GradeDelay{5'000};
constexpr std::array<std::int64_t, Versions> DurationsMillis{1'500, 3'000,
                                                             6'000};

/// Runs the planner's choices on prepared answers and feeds back what a shell
/// would.
class PlannerRun {
public:
  PlannerRun(const Shape &shape, std::uint64_t seed)
      : Planned(seed), Service(makeService()),
        Gap(static_cast<std::int64_t>(1000 / shape.PerSecond)) {}

  std::vector<Served> serve(const std::vector<Request> &requests) {
    std::vector<Served> served;
    served.reserve(requests.size());
    for (const Request &request : requests) {
      Events.runUntil(Events.now() + Gap);
      served.push_back(serveOne(request));
    }
    return served;
  }

private:
  Served serveOne(const Request &request) {
    const auto facts = factsOf(request);
    const auto plan = Planned.plan(facts, Service, {}, 0, Events.now());
    return std::visit(
        core::Overloaded{[&](const route::SinglePlan &single) {
                           return answer(request, single.Version, {}, 0);
                         },
                         [&](const route::CascadePlan &cascade) {
                           return cascadeAnswer(request, cascade);
                         },
                         [](const route::NoPlan &) { return Served(); }},
        plan);
  }

  Served cascadeAnswer(const Request &request,
                       const route::CascadePlan &cascade) {
    const std::size_t cheap = indexOf(cascade.Cheap);
    if (request.Answers[cheap].CheckScore >= cascade.AcceptAbove)
      return answer(request, cascade.Cheap, {}, 0);
    learnCheck(request, cheap);
    learnDuration(cheap);
    const route::RejectedAnswer rejected{cascade.Cheap,
                                         request.Answers[cheap].CheckScore};
    return answer(request, cascade.Better, rejected,
                  Service.Versions[cheap].CostPerThousandTokens);
  }

  Served answer(const Request &request, const core::VersionId &version,
                const std::optional<route::RejectedAnswer> &replaced,
                double spent) {
    const std::size_t index = indexOf(version);
    learnDuration(index);
    const bool checked = !request.Stream && !replaced;
    if (checked)
      learnCheck(request, index);
    const Answer &given = request.Answers[index];
    route::GradeObservation grade;
    grade.Service = Service.Name;
    grade.Organisation = Service.Organisations[request.Organisation].Name;
    grade.RequestClass = classOf(request);
    grade.Version = version;
    grade.Score = given.Grade;
    grade.CheckScore = checked ? given.CheckScore : -1;
    grade.Replaced = replaced;
    if (!request.GradeMissing)
      Events.after(GradeDelay,
                   [this, grade] { Planned.observe(grade, Events.now()); });
    return {spent + Service.Versions[index].CostPerThousandTokens, given.Grade};
  }

  void learnCheck(const Request &request, std::size_t version) {
    Planned.observe(route::CheckObservation{
        Service.Name, classOf(request), Service.Versions[version].Name,
        request.Answers[version].CheckScore});
  }

  void learnDuration(std::size_t version) {
    Planned.observe(
        route::DurationObservation{Service.Name, Service.Versions[version].Name,
                                   core::Millis(DurationsMillis[version])});
  }

  std::size_t indexOf(const core::VersionId &version) const {
    std::size_t index = 0;
    while (Service.Versions[index].Name != version)
      ++index;
    return index;
  }

  static std::string classOf(const Request &request) {
    return "c" + std::to_string(request.Class);
  }

  route::RequestContext factsOf(const Request &request) const {
    route::RequestContext facts;
    facts.Service = Service.Name;
    facts.Organisation = Service.Organisations[request.Organisation].Name;
    facts.RequestClass = classOf(request);
    facts.Stream = request.Stream;
    facts.Remaining = core::Millis(30'000);
    return facts;
  }

  route::Planner Planned;
  config::ServiceDeclaration Service;
  core::Millis Gap;
  EventQueue Events;
};

} // namespace

std::vector<Served> servePlanner(const Shape &shape,
                                 const std::vector<Request> &requests,
                                 std::uint64_t seed) {
  return PlannerRun(shape, seed).serve(requests);
}

} // namespace cowslipridge::bench::cost
