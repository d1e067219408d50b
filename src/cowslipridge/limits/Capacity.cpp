#include "cowslipridge/limits/Capacity.hpp"

namespace cowslipridge::limits {

DomainCapacity &DomainCapacity::operator+=(const DomainCapacity &other) {
  Runners += other.Runners;
  PendingMillis += other.PendingMillis;
  Waiting += other.Waiting;
  Running += other.Running;
  Slots += other.Slots;
  return *this;
}

DomainCapacity Capacity::total() const {
  DomainCapacity sum;
  for (const auto &[domain, capacity] : Domains)
    sum += capacity;
  return sum;
}

double Capacity::pendingPerRunner() const {
  const DomainCapacity sum = total();
  return sum.Runners == 0 ? 0 : sum.PendingMillis / sum.Runners;
}

} // namespace cowslipridge::limits
