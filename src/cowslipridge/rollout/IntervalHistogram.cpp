#include "cowslipridge/rollout/IntervalHistogram.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace cowslipridge::rollout {

namespace {

constexpr double LowestMillis = 4;
/// The fewest other requests of each class of load.
constexpr std::array<std::size_t, IntervalsByLoad::ClassCount> FirstOfClass = {
    0, 2, 4, 8};

} // namespace

void IntervalHistogram::add(double intervalMillis) {
  const double doublings =
      std::log2(std::max(intervalMillis, LowestMillis) / LowestMillis);
  const auto bucket = static_cast<std::size_t>(
      doublings * static_cast<double>(BucketsPerDoubling));
  ++Buckets.at(std::min(bucket, BucketCount - 1));
}

void IntervalHistogram::addToBucket(std::size_t bucket, std::uint32_t answers) {
  if (bucket < BucketCount)
    Buckets.at(bucket) += answers;
}

IntervalHistogram &
IntervalHistogram::operator+=(const IntervalHistogram &other) {
  std::transform(Buckets.begin(), Buckets.end(), other.Buckets.begin(),
                 Buckets.begin(), std::plus<>());
  return *this;
}

IntervalHistogram &
IntervalHistogram::operator-=(const IntervalHistogram &other) {
  std::transform(Buckets.begin(), Buckets.end(), other.Buckets.begin(),
                 Buckets.begin(), std::minus<>());
  return *this;
}

bool IntervalHistogram::includes(const IntervalHistogram &other) const {
  return std::equal(Buckets.begin(), Buckets.end(), other.Buckets.begin(),
                    std::greater_equal<>());
}

std::uint64_t IntervalHistogram::total() const {
  return std::accumulate(Buckets.begin(), Buckets.end(), std::uint64_t{0});
}

std::uint64_t IntervalHistogram::countUpTo(std::size_t bucket) const {
  const std::size_t end = std::min(bucket + 1, BucketCount);
  return std::accumulate(Buckets.begin(),
                         Buckets.begin() + static_cast<std::ptrdiff_t>(end),
                         std::uint64_t{0});
}

std::size_t IntervalHistogram::quantileBucket(double share) const {
  const double wanted = share * static_cast<double>(total());
  std::size_t bucket = 0;
  while (bucket + 1 < BucketCount &&
         static_cast<double>(countUpTo(bucket)) < wanted)
    ++bucket;
  return bucket;
}

void IntervalsByLoad::add(std::size_t otherRequests, double intervalMillis) {
  const auto *const it =
      std::upper_bound(FirstOfClass.begin(), FirstOfClass.end(), otherRequests);
  Classes.at(static_cast<std::size_t>(it - FirstOfClass.begin()) - 1)
      .add(intervalMillis);
}

IntervalsByLoad &IntervalsByLoad::operator+=(const IntervalsByLoad &other) {
  for (std::size_t n = 0; n < ClassCount; ++n)
    Classes.at(n) += other.Classes.at(n);
  return *this;
}

IntervalsByLoad &IntervalsByLoad::operator-=(const IntervalsByLoad &other) {
  for (std::size_t n = 0; n < ClassCount; ++n)
    Classes.at(n) -= other.Classes.at(n);
  return *this;
}

bool IntervalsByLoad::includes(const IntervalsByLoad &other) const {
  return std::equal(
      Classes.begin(), Classes.end(), other.Classes.begin(),
      [](const auto &all, const auto &part) { return all.includes(part); });
}

IntervalHistogram IntervalsByLoad::sum() const {
  return std::accumulate(Classes.begin(), Classes.end(), IntervalHistogram(),
                         [](IntervalHistogram sum, const auto &it) {
                           sum += it;
                           return sum;
                         });
}

} // namespace cowslipridge::rollout
