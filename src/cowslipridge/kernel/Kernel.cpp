#include "cowslipridge/kernel/Kernel.hpp"

#include <algorithm>
#include <stdexcept>

namespace cowslipridge::kernel {

void Kernel::add(const std::string &name, std::shared_ptr<Service> service,
                 std::any typed) {
  const std::lock_guard lock(Guard);
  const bool taken = std::any_of(Slots.begin(), Slots.end(),
                                 [&](const Slot &x) { return x.Name == name; });
  if (taken)
    throw std::logic_error("service name is already registered: " + name);
  Slots.push_back({name, std::move(service), std::move(typed)});
}

std::any Kernel::lookup(const std::string &name) const {
  const std::lock_guard lock(Guard);
  const auto it = std::find_if(Slots.begin(), Slots.end(),
                               [&](const Slot &x) { return x.Name == name; });
  return it == Slots.end() ? std::any() : it->Typed;
}

bool Kernel::start() {
  for (Started = 0; Started < Slots.size(); ++Started) {
    if (!Slots[Started].Component->start()) {
      stop();
      return false;
    }
  }
  return true;
}

void Kernel::drain() {
  for (std::size_t n = 0; n < Started; ++n)
    Slots[n].Component->drain();
}

bool Kernel::idle() const {
  return std::all_of(Slots.begin(),
                     Slots.begin() + static_cast<std::ptrdiff_t>(Started),
                     [](const Slot &x) { return x.Component->idle(); });
}

void Kernel::stop() {
  while (Started > 0) {
    --Started;
    Slots[Started].Component->stop();
  }
}

} // namespace cowslipridge::kernel
