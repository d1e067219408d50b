#include "cost/Policies.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "cowslipridge/route/Planner.hpp"
#include "support/EventQueue.hpp"

namespace cowslipridge::bench::cost {

namespace {

constexpr core::Millis GradeDelay{5'000};
constexpr std::array<std::int64_t, Versions> DurationsMillis{1'500, 3'000,
                                                             6'000};

/// Applies the planner's choices to prepared answers and reports the same
/// observations to the planner as a gateway does.
class PlannerRun {
public:
  PlannerRun(const Shape &shape, std::uint64_t seed)
      : PlannerUnderTest(seed), Service(makeService()),
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
    const auto context = contextOf(request);
    const auto plan =
        PlannerUnderTest.plan(context, Service, {}, 0, Events.now());
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
    observeCheck(request, cheap);
    observeDuration(cheap);
    const route::RejectedAnswer rejected{cascade.Cheap,
                                         request.Answers[cheap].CheckScore};
    return answer(request, cascade.Better, rejected,
                  Service.Versions[cheap].CostPerThousandTokens);
  }

  Served answer(const Request &request, const core::VersionId &version,
                const std::optional<route::RejectedAnswer> &replaced,
                double spent) {
    const std::size_t index = indexOf(version);
    observeDuration(index);
    const bool checked = !request.Stream && !replaced;
    if (checked)
      observeCheck(request, index);
    const Answer &result = request.Answers[index];
    route::GradeObservation grade;
    grade.Service = Service.Name;
    grade.Organisation = Service.Organisations[request.Organisation].Name;
    grade.RequestClass = classOf(request);
    grade.Version = version;
    grade.Score = result.Grade;
    grade.CheckScore = checked ? result.CheckScore : -1;
    grade.Replaced = replaced;
    if (!request.GradeMissing)
      Events.after(GradeDelay, [this, grade] {
        PlannerUnderTest.observe(grade, Events.now());
      });
    return {spent + Service.Versions[index].CostPerThousandTokens,
            result.Grade};
  }

  void observeCheck(const Request &request, std::size_t version) {
    PlannerUnderTest.observe(route::CheckObservation{
        Service.Name, classOf(request), Service.Versions[version].Name,
        request.Answers[version].CheckScore});
  }

  void observeDuration(std::size_t version) {
    PlannerUnderTest.observe(
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

  route::RequestContext contextOf(const Request &request) const {
    route::RequestContext context;
    context.Service = Service.Name;
    context.Organisation = Service.Organisations[request.Organisation].Name;
    context.RequestClass = classOf(request);
    context.Stream = request.Stream;
    context.Remaining = core::Millis(30'000);
    return context;
  }

  route::Planner PlannerUnderTest;
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
