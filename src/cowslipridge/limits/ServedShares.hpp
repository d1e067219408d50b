#pragma once

#include "cowslipridge/core/Clock.hpp"

#include <string>
#include <unordered_map>

namespace cowslipridge::limits {

/// Tracks which part of recent requests was served, by a key such as a route or
/// an organisation. An order by rank alone would serve none of the last ranks
/// while the first ones need the whole capacity.
class ServedShares {
public:
  /// A kind or an organisation whose share is below this part of the share of
  /// all is served rarely. The bound on starvation is a quarter; the rest makes
  /// up for requests that wait for their deadlines and are counted late.
  static constexpr double RareOfAll = 0.5;
  /// The same for a size of prompt and its kind, where the bound is a half.
  static constexpr double RareOfKind = 0.75;

  /// Records a request that got its first token, or that ended without one.
  void record(const std::string &key, bool served, core::Millis now);
  /// Returns the served part of the key's recent requests; 1 while there are
  /// none.
  [[nodiscard]] double share(const std::string &key, core::Millis now) const;
  /// Erases keys without recent requests.
  void tick(core::Millis now);

private:
  struct Counts {
    double Served = 0;
    double Ended = 0;
    core::Millis At;
  };

  static Counts decayed(const Counts &counts, core::Millis now);

  std::unordered_map<std::string, Counts> ByKey;
};

} // namespace cowslipridge::limits
