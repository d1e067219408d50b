#pragma once

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace cowslipridge::sidecar {

/// Returns grades to the entries that sent the graded requests. Bounded: what
/// is over the limits is dropped, because entries only learn from grades.
class GradeOutbox {
public:
  static constexpr std::size_t MaxRequests = 8'192;
  static constexpr std::size_t MaxWaitingPerEntry = 256;

  /// `entry` sent this request.
  void onRequest(const core::RequestId &request, const core::InstanceId &entry);
  /// Queues a grade for the entry that sent the request.
  void onGrade(const backing::Grade &grade);
  /// The next grades for an entry.
  std::vector<backing::Grade> take(const core::InstanceId &entry,
                                   std::size_t limit);

private:
  std::map<core::RequestId, core::InstanceId> Senders;
  std::deque<core::RequestId> Order; ///< oldest first
  std::map<core::InstanceId, std::deque<backing::Grade>> Waiting;
};

} // namespace cowslipridge::sidecar
