#include "cost/Policies.hpp"

#include <map>

namespace cowslipridge::bench::cost {

namespace {

Served serveWith(const Request &request, std::size_t version,
                 const config::ServiceDeclaration &service) {
  return {service.Versions[version].CostPerThousandTokens,
          request.Answers[version].Grade};
}

std::vector<Served> serveAllWith(const std::vector<Request> &requests,
                                 std::size_t version) {
  const auto service = makeService();
  std::vector<Served> served;
  served.reserve(requests.size());
  for (const Request &request : requests)
    served.push_back(serveWith(request, version, service));
  return served;
}

/// Serves the request by the version with the highest `price * grade - cost`.
Served serveAtPrice(const Request &request, double price,
                    const config::ServiceDeclaration &service) {
  Served best = serveWith(request, 0, service);
  for (std::size_t version = 1; version < Versions; ++version) {
    const Served other = serveWith(request, version, service);
    if (price * other.Grade - other.Cost > price * best.Grade - best.Cost)
      best = other;
  }
  return best;
}

double meanGradeAtPrice(const std::vector<const Request *> &requests,
                        double price,
                        const config::ServiceDeclaration &service) {
  double sum = 0;
  for (const Request *request : requests)
    sum += serveAtPrice(*request, price, service).Grade;
  return sum / static_cast<double>(requests.size());
}

/// Returns the lowest price of quality at which the mean grade of the requests
/// reaches the target, found by bisection.
double findPrice(const std::vector<const Request *> &requests, double target,
                 const config::ServiceDeclaration &service) {
  constexpr int Steps = 40;
  double low = 0;
  double high = 2000;
  for (int step = 0; step < Steps; ++step) {
    const double middle = (low + high) / 2;
    (meanGradeAtPrice(requests, middle, service) >= target ? high : low) =
        middle;
  }
  return high;
}

std::vector<Served> serveWithKnownGrades(const std::vector<Request> &requests,
                                         double margin) {
  const auto service = makeService();
  std::map<std::size_t, std::vector<const Request *>> byOrganisation;
  for (const Request &request : requests)
    byOrganisation[request.Organisation].push_back(&request);
  std::map<std::size_t, double> prices;
  for (const auto &[organisation, orgRequests] : byOrganisation)
    prices[organisation] = findPrice(
        orgRequests, service.Organisations[organisation].QualityTarget + margin,
        service);
  std::vector<Served> served;
  served.reserve(requests.size());
  for (const Request &request : requests)
    served.push_back(
        serveAtPrice(request, prices[request.Organisation], service));
  return served;
}

} // namespace

std::vector<Served> serveAlwaysBest(const Shape & /*shape*/,
                                    const std::vector<Request> &requests,
                                    std::uint64_t /*seed*/) {
  return serveAllWith(requests, Versions - 1);
}

std::vector<Served> serveAlwaysCheapest(const Shape & /*shape*/,
                                        const std::vector<Request> &requests,
                                        std::uint64_t /*seed*/) {
  return serveAllWith(requests, 0);
}

std::vector<Served> serveRandomMix(const Shape & /*shape*/,
                                   const std::vector<Request> &requests,
                                   std::uint64_t seed) {
  const auto service = makeService();
  core::Random random(seed);
  std::vector<Served> served;
  served.reserve(requests.size());
  for (const Request &request : requests)
    served.push_back(
        serveWith(request, core::uniformIndex(random, Versions), service));
  return served;
}

std::vector<Served> serveOracle(const Shape & /*shape*/,
                                const std::vector<Request> &requests,
                                std::uint64_t /*seed*/) {
  return serveWithKnownGrades(requests, 0);
}

std::vector<Served> serveOracleWithMargin(const Shape & /*shape*/,
                                          const std::vector<Request> &requests,
                                          std::uint64_t /*seed*/) {
  return serveWithKnownGrades(requests, WindowMargin);
}

} // namespace cowslipridge::bench::cost
