#include "cowslipridge/limits/RunnerRateLimits.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace cowslipridge::limits {

namespace {

constexpr double MillisPerSecond = 1'000;
/// Requests that a gateway may save up for one runner.
constexpr double MaxTokens = 1;
/// Gateways that use a runner, for each request a second that it takes: what
/// they save up together is then no more than it takes in about two seconds.
constexpr double GatewaysPerRequest = 2;
/// Time for which the end of a limit is reported, as reports may be lost.
constexpr core::Millis ReportTime{10'000};
/// Bounds the waiting time that is named for very small limits.
constexpr core::Millis MaxWait{10'000};
/// Smallest limit that is kept to: a runner that got nothing could never say
/// that it takes requests again.
constexpr double MinPerSecond = 0.1;

std::uint64_t weightOf(const core::InstanceId &gateway,
                       const core::RunnerId &runner) {
  const std::string text = gateway.str() + "/" + runner.str();
  return XXH64(text.data(), text.size(), 0);
}

core::Millis toMillis(double seconds) {
  const core::Millis wait(
      static_cast<std::int64_t>(std::ceil(seconds * MillisPerSecond)));
  return std::min(wait, MaxWait);
}

} // namespace

std::optional<double> RunnerRateLimits::Limit::perSecond() const {
  if (!Cold)
    return Stated;
  return std::min(Stated.value_or(Cold->PerSecond), Cold->PerSecond);
}

void RunnerRateLimits::setGateways(const core::InstanceId &own,
                                   const std::set<core::InstanceId> &others) {
  Own = own;
  Others = others;
  for (auto &[runner, limit] : Limits)
    setShare(runner, limit);
}

RunnerRateLimits::Users RunnerRateLimits::usersOf(const core::RunnerId &runner,
                                                  const Limit &limit) const {
  double wanted = static_cast<double>(Others.size() + 1);
  if (limit.Stated)
    wanted =
        std::min(wanted, std::floor(GatewaysPerRequest * *limit.Stated) + 1);
  if (limit.Cold)
    wanted = std::min(wanted, static_cast<double>(limit.Cold->MaxGateways));
  const std::uint64_t own = weightOf(Own, runner);
  const auto ahead =
      std::count_if(Others.begin(), Others.end(),
                    [&](const auto &it) { return weightOf(it, runner) > own; });
  return {wanted, static_cast<double>(ahead)};
}

void RunnerRateLimits::setShare(const core::RunnerId &runner, Limit &limit) {
  const auto perSecond = limit.perSecond();
  const Users users = usersOf(runner, limit);
  limit.Share = perSecond && users.includesOwn() ? *perSecond / users.Count : 0;
}

void RunnerRateLimits::update(const core::RunnerId &runner, Limit &limit,
                              double tokens, core::Millis now) {
  limit.Tokens = tokens;
  limit.FilledAt = now;
  setShare(runner, limit);
}

bool RunnerRateLimits::onStatement(const RateLimitStatement &statement,
                                   core::Millis at, core::Millis now) {
  const auto known = Limits.find(statement.Runner);
  if (known == Limits.end() && !statement.PerSecond)
    return false;
  if (known != Limits.end() && known->second.StatedAt > at)
    return false;
  std::optional<double> perSecond = statement.PerSecond;
  if (perSecond)
    perSecond = std::max(*perSecond, MinPerSecond);
  Limit &limit = Limits[statement.Runner];
  const bool isChanged = limit.Stated != perSecond;
  limit.StatedAt = at;
  if (!isChanged)
    return false;
  // A gateway that learns of a limit has sent its part already.
  const double tokens = limit.perSecond() ? tokensAt(limit, now) : 0;
  limit.Stated = perSecond;
  limit.StatementEndedAt.reset();
  if (!perSecond)
    limit.StatementEndedAt = now;
  update(statement.Runner, limit, tokens, now);
  return true;
}

void RunnerRateLimits::setColdLimit(const core::RunnerId &runner,
                                    const std::optional<ColdLimit> &limit,
                                    core::Millis now) {
  const auto known = Limits.find(runner);
  if (known == Limits.end() && !limit)
    return;
  Limit &own = Limits[runner];
  if (own.Cold == limit)
    return;
  const bool wasLimited = own.perSecond().has_value();
  double tokens = wasLimited ? tokensAt(own, now) : 0;
  own.Cold = limit;
  // The gateways that use the runner begin one after the other: none has saved
  // up a request, and the runner is not left idle until all have.
  if (!wasLimited) {
    const Users users = usersOf(runner, own);
    tokens = std::max(0.0, 1 - (users.Position + 1) / users.Count);
  }
  update(runner, own, tokens, now);
}

double RunnerRateLimits::tokensAt(const Limit &limit, core::Millis now) {
  const double elapsed =
      static_cast<double>((now - limit.FilledAt).count()) / MillisPerSecond;
  return std::min(MaxTokens, limit.Tokens + elapsed * limit.Share);
}

void RunnerRateLimits::onSent(const core::RunnerId &runner, core::Millis now) {
  const auto it = Limits.find(runner);
  if (it == Limits.end() || !it->second.perSecond())
    return;
  it->second.Tokens = tokensAt(it->second, now) - 1;
  it->second.FilledAt = now;
}

core::Millis RunnerRateLimits::remaining(const core::RunnerId &runner,
                                         core::Millis now) const {
  const auto it = Limits.find(runner);
  if (it == Limits.end())
    return {};
  const Limit &limit = it->second;
  const auto perSecond = limit.perSecond();
  if (!perSecond)
    return {};
  // Callers that come back may reach one of the gateways that use the runner.
  if (limit.Share <= 0)
    return toMillis(1 / *perSecond);
  const double missing = 1 - tokensAt(limit, now);
  return missing <= 0 ? core::Millis() : toMillis(missing / limit.Share);
}

bool RunnerRateLimits::mayExceed(const core::RunnerId &runner) const {
  const auto it = Limits.find(runner);
  return it != Limits.end() && it->second.Cold && it->second.Cold->IsAssumed &&
         !it->second.Stated;
}

std::vector<ReportedRateLimit>
RunnerRateLimits::report(core::Millis now) const {
  std::vector<ReportedRateLimit> reported;
  for (const auto &[runner, limit] : Limits) {
    if (limit.Stated || limit.StatementEndedAt)
      reported.push_back({{runner, limit.Stated}, now - limit.StatedAt});
  }
  return reported;
}

std::size_t RunnerRateLimits::limited() const {
  return static_cast<std::size_t>(
      std::count_if(Limits.begin(), Limits.end(), [](const auto &it) {
        return it.second.Stated.has_value();
      }));
}

std::size_t RunnerRateLimits::cold() const {
  return static_cast<std::size_t>(
      std::count_if(Limits.begin(), Limits.end(),
                    [](const auto &it) { return it.second.Cold.has_value(); }));
}

void RunnerRateLimits::tick(core::Millis now) {
  std::erase_if(Limits, [&](const auto &it) {
    const Limit &limit = it.second;
    const bool isReported =
        limit.StatementEndedAt && now - *limit.StatementEndedAt <= ReportTime;
    return !limit.perSecond() && !isReported;
  });
}

} // namespace cowslipridge::limits
