#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace cowslipridge::rollout {

/// Counts answers by the mean interval between their stream events, in buckets
/// of equal width on a logarithmic scale. Histograms of several gateways add
/// up.
class IntervalHistogram {
public:
  /// Eight buckets for each doubling, from 4 ms to about 1 s.
  static constexpr std::size_t BucketCount = 64;
  using Counts = std::array<std::uint32_t, BucketCount>;

  void add(double intervalMillis);
  /// Adds answers to a bucket; ignores one that does not exist.
  void addToBucket(std::size_t bucket, std::uint32_t answers);
  IntervalHistogram &operator+=(const IntervalHistogram &other);

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

/// The intervals of streams by the number of other requests at their runner,
/// since each of these slows a stream down.
class IntervalsByLoad {
public:
  static constexpr std::size_t ClassCount = 4;

  void add(std::size_t otherRequests, double intervalMillis);
  IntervalsByLoad &operator+=(const IntervalsByLoad &other);
  [[nodiscard]] const IntervalHistogram &ofClass(std::size_t number) const {
    return Classes.at(number);
  }
  [[nodiscard]] IntervalHistogram &ofClass(std::size_t number) {
    return Classes.at(number);
  }
  /// Returns the streams of all classes.
  [[nodiscard]] IntervalHistogram sum() const;

  friend auto operator<=>(const IntervalsByLoad &,
                          const IntervalsByLoad &) = default;

private:
  std::array<IntervalHistogram, ClassCount> Classes;
};

} // namespace cowslipridge::rollout
