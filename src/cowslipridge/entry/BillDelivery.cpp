#include "cowslipridge/entry/BillDelivery.hpp"

#include <map>

namespace cowslipridge::entry {

namespace {

constexpr core::Millis TickInterval{1'000};
constexpr core::Millis DeliveryTimeout{5'000};
/// Maximum number of bills in one message.
constexpr std::size_t MaxBillsPerMessage = 200;

} // namespace

void BillDelivery::startTicking() { tick(); }

void BillDelivery::tick() {
  const auto isLive = [this](const core::InstanceId &name) {
    const membership::Member *it = Context.Peers->directory().find(name);
    return it != nullptr && it->State != membership::Liveness::Removed &&
           it->State != membership::Liveness::SuspectedFailed;
  };
  std::map<core::ServiceId, std::vector<HeldBill>> byService;
  if (!DeliveryInProgress) {
    for (HeldBill &it : Context.Bills.due(Context.now(), isLive)) {
      std::vector<HeldBill> &bills = byService[it.Service];
      if (bills.size() < MaxBillsPerMessage)
        bills.push_back(std::move(it));
    }
  }
  for (auto &[service, bills] : byService)
    deliver(service, std::move(bills));
  Context.Loop.postAfter(TickInterval, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->tick();
  });
}

void BillDelivery::deliver(const core::ServiceId &service,
                           std::vector<HeldBill> bills) {
  for (const route::RunnerView &view : Context.Peers->views(service)) {
    const core::InstanceId sidecar = toInstance(view.Runner);
    rpc::PeerClient *client = Context.Peers->client(sidecar);
    if (view.SuspectedFailed || client == nullptr)
      continue;
    std::vector<std::string> lines;
    lines.reserve(bills.size());
    for (const HeldBill &it : bills)
      lines.push_back(it.Line);
    DeliveryInProgress = true;
    client->deliverBills(
        Context.Settings.Instance, lines, DeliveryTimeout,
        [weak = weak_from_this(), sidecar,
         bills = std::move(bills)](const core::Result<unsigned> &accepted) {
          const auto self = weak.lock();
          if (!self)
            return;
          self->DeliveryInProgress = false;
          if (!accepted.ok() || *accepted != bills.size())
            return;
          for (const HeldBill &it : bills)
            self->Context.Bills.onDelivered(it, sidecar, self->Context.now());
        });
    return;
  }
}

} // namespace cowslipridge::entry
