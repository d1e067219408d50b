#include "cost/Policies.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace cowslipridge::bench::cost {

namespace {

constexpr int ThresholdSteps = 40;

/// A single version (`Cheap` == `Better`) or a cascade.
struct FixedPlan {
  std::size_t Cheap = 0;
  std::size_t Better = 0;
  double AcceptAbove = 0;
};

/// Identifies a group of requests that a policy cannot distinguish before it
/// has served them.
using GroupKey = std::pair<std::size_t, bool>; // class, stream

struct Group {
  std::vector<const Request *> Requests;
  std::vector<FixedPlan> Plans;
  std::vector<Served> Means; ///< mean cost and grade of each plan
};

Served serveWith(const Request &request, const FixedPlan &plan,
                 const config::ServiceDeclaration &service) {
  const Answer &first = request.Answers[plan.Cheap];
  const double cost = service.Versions[plan.Cheap].CostPerThousandTokens;
  if (plan.Cheap == plan.Better || first.CheckScore >= plan.AcceptAbove)
    return {cost, first.Grade};
  return {cost + service.Versions[plan.Better].CostPerThousandTokens,
          request.Answers[plan.Better].Grade};
}

std::vector<FixedPlan> listPlans(bool mayCascade) {
  std::vector<FixedPlan> plans;
  for (std::size_t version = 0; version < Versions; ++version)
    plans.push_back({version, version, 0});
  if (!mayCascade)
    return plans;
  for (std::size_t cheap = 0; cheap < Versions; ++cheap) {
    for (std::size_t better = cheap + 1; better < Versions; ++better) {
      for (int n = 1; n < ThresholdSteps; ++n)
        plans.push_back(
            {cheap, better, static_cast<double>(n) / ThresholdSteps});
    }
  }
  return plans;
}

void addMeans(Group &group, const config::ServiceDeclaration &service) {
  const auto count = static_cast<double>(group.Requests.size());
  for (const FixedPlan &plan : group.Plans) {
    Served mean;
    for (const Request *request : group.Requests) {
      const Served served = serveWith(*request, plan, service);
      mean.Cost += served.Cost / count;
      mean.Grade += served.Grade / count;
    }
    group.Means.push_back(mean);
  }
}

std::size_t planAtPrice(const Group &group, double price) {
  const auto utility = [price](const Served &mean) {
    return price * mean.Grade - mean.Cost;
  };
  const auto best = std::max_element(group.Means.begin(), group.Means.end(),
                                     [&](const Served &a, const Served &b) {
                                       return utility(a) < utility(b);
                                     });
  return static_cast<std::size_t>(best - group.Means.begin());
}

double gradeAtPrice(const std::map<GroupKey, Group> &groups, double price) {
  double sum = 0;
  double count = 0;
  for (const auto &[key, group] : groups) {
    const auto size = static_cast<double>(group.Requests.size());
    sum += size * group.Means[planAtPrice(group, price)].Grade;
    count += size;
  }
  return sum / count;
}

double findPrice(const std::map<GroupKey, Group> &groups, double target) {
  constexpr int Steps = 40;
  double low = 0;
  double high = 2000;
  for (int step = 0; step < Steps; ++step) {
    const double middle = (low + high) / 2;
    (gradeAtPrice(groups, middle) >= target ? high : low) = middle;
  }
  return high;
}

std::map<GroupKey, Group>
groupRequests(const std::vector<Request> &requests,
              const config::ServiceDeclaration &service) {
  std::map<GroupKey, Group> groups;
  for (const Request &request : requests)
    groups[{request.Class, request.Stream}].Requests.push_back(&request);
  for (auto &[key, group] : groups) {
    group.Plans = listPlans(!key.second);
    addMeans(group, service);
  }
  return groups;
}

} // namespace

std::vector<Served> serveBestFixedPlans(const Shape & /*shape*/,
                                        const std::vector<Request> &requests,
                                        std::uint64_t /*seed*/) {
  const auto service = makeService();
  const auto groups = groupRequests(requests, service);
  std::vector<double> prices;
  prices.reserve(service.Organisations.size());
  for (const auto &organisation : service.Organisations)
    prices.push_back(
        findPrice(groups, organisation.QualityTarget + WindowMargin));
  std::vector<Served> served;
  served.reserve(requests.size());
  for (const Request &request : requests) {
    const Group &group = groups.at({request.Class, request.Stream});
    const auto plan = planAtPrice(group, prices[request.Organisation]);
    served.push_back(serveWith(request, group.Plans[plan], service));
  }
  return served;
}

} // namespace cowslipridge::bench::cost
