#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace cowslipridge::rollout {

/// Counts answers by a time, in buckets of equal width on a logarithmic scale:
/// the mean interval between the events of a stream, or the duration of a plain
/// answer. Histograms of several gateways add up.
class IntervalHistogram {
public:
  static constexpr std::size_t BucketsPerDoubling = 8;
  /// From 4 ms to about 1 s.
  static constexpr std::size_t BucketCount = 64;
  using Counts = std::array<std::uint32_t, BucketCount>;

  void add(double intervalMillis);
  /// Adds answers to a bucket; ignores one that does not exist.
  void addToBucket(std::size_t bucket, std::uint32_t answers);
  IntervalHistogram &operator+=(const IntervalHistogram &other);
  /// Removes answers that this histogram includes.
  IntervalHistogram &operator-=(const IntervalHistogram &other);
  /// Returns whether no bucket of `other` has more answers.
  [[nodiscard]] bool includes(const IntervalHistogram &other) const;

  [[nodiscard]] const Counts &counts() const { return Buckets; }
  [[nodiscard]] std::uint64_t total() const;
  /// Returns the number of answers in the buckets up to this one.
  [[nodiscard]] std::uint64_t countUpTo(std::size_t bucket) const;
  /// Returns the bucket up to which this share of the answers lies.
  [[nodiscard]] std::size_t quantileBucket(double share) const;

  friend auto operator<=>(const IntervalHistogram &,
                          const IntervalHistogram &) = default;

private:
  Counts Buckets{};
};

/// The times of answers by the number of other requests at their runner, since
/// each of these slows an answer down.
class IntervalsByLoad {
public:
  static constexpr std::size_t ClassCount = 4;

  void add(std::size_t otherRequests, double intervalMillis);
  IntervalsByLoad &operator+=(const IntervalsByLoad &other);
  /// Removes answers that these include.
  IntervalsByLoad &operator-=(const IntervalsByLoad &other);
  /// Returns whether no bucket of `other` has more answers.
  [[nodiscard]] bool includes(const IntervalsByLoad &other) const;
  [[nodiscard]] const IntervalHistogram &ofClass(std::size_t number) const {
    return Classes.at(number);
  }
  [[nodiscard]] IntervalHistogram &ofClass(std::size_t number) {
    return Classes.at(number);
  }
  /// Returns the answers of all classes.
  [[nodiscard]] IntervalHistogram sum() const;

  friend auto operator<=>(const IntervalsByLoad &,
                          const IntervalsByLoad &) = default;

private:
  std::array<IntervalHistogram, ClassCount> Classes;
};

} // namespace cowslipridge::rollout
