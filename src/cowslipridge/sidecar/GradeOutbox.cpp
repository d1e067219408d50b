#include "cowslipridge/sidecar/GradeOutbox.hpp"

namespace cowslipridge::sidecar {

void GradeOutbox::onRequest(const core::RequestId &request,
                            const core::InstanceId &entry) {
  if (!Senders.insert_or_assign(request, entry).second)
    return;
  Order.push_back(request);
  if (Order.size() <= MaxRequests)
    return;
  Senders.erase(Order.front());
  Order.pop_front();
}

void GradeOutbox::onGrade(const backing::Grade &grade) {
  const auto sender = Senders.find(grade.Request);
  if (sender == Senders.end())
    return;
  std::deque<backing::Grade> &queue = Pending[sender->second];
  queue.push_back(grade);
  if (queue.size() > MaxPendingPerEntry)
    queue.pop_front();
}

std::vector<backing::Grade> GradeOutbox::take(const core::InstanceId &entry,
                                              std::size_t limit) {
  std::vector<backing::Grade> grades;
  const auto it = Pending.find(entry);
  if (it == Pending.end())
    return grades;
  while (!it->second.empty() && grades.size() < limit) {
    grades.push_back(it->second.front());
    it->second.pop_front();
  }
  if (it->second.empty())
    Pending.erase(it);
  return grades;
}

} // namespace cowslipridge::sidecar
