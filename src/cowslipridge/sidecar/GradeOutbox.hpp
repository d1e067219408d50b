#pragma once

#include "cowslipridge/backing/Ratings.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace cowslipridge::sidecar {

/// Queues grades for the entries that sent the graded requests. Bounded: the
/// oldest items over the limits are dropped, because a lost grade only means
/// that the entry has one observation fewer.
class GradeOutbox {
public:
  static constexpr std::size_t MaxRequests = 8'192;
  static constexpr std::size_t MaxPendingPerEntry = 256;

  /// Records that `entry` sent this request.
  void onRequest(const core::RequestId &request, const core::InstanceId &entry);
  /// Queues a grade for the entry that sent the request; ignores grades of
  /// unknown requests.
  void onGrade(const backing::Grade &grade);
  /// Removes and returns up to `limit` grades for an entry, oldest first.
  std::vector<backing::Grade> take(const core::InstanceId &entry,
                                   std::size_t limit);

private:
  std::map<core::RequestId, core::InstanceId> Senders;
  std::deque<core::RequestId> Order; ///< oldest first
  std::map<core::InstanceId, std::deque<backing::Grade>> Pending;
};

} // namespace cowslipridge::sidecar
