#include "cowslipridge/platform/StoreRegistration.hpp"

#include "cowslipridge/core/Chrono.hpp"

namespace cowslipridge::platform {

namespace {

constexpr core::Millis CallTimeout{800};
constexpr core::Millis LeaseLifetime{4'000};
/// Also bounds how long an outage of the store goes undetected.
constexpr core::Millis RenewInterval{1'000};

} // namespace

StoreRegistration::StoreRegistration(boost::asio::io_context &loop,
                                     MonitoredStoreClient &store)
    : Store(store), Timer(loop) {}

void StoreRegistration::start(std::string key, std::string value) {
  Key = std::move(key);
  Value = std::move(value);
  requestLease();
}

void StoreRegistration::deregister() {
  Deregistered = true;
  Timer.cancel();
  if (Lease == 0)
    return;
  Store.send(StoreCallKind::Release, revokeLeaseCall(Lease), CallTimeout,
             [](const StoreReply &) {
               // If this call fails, the lease expires by itself.
             });
}

void StoreRegistration::scheduleRenewal() {
  if (Deregistered)
    return;
  Timer.expires_after(core::toChrono(RenewInterval));
  Timer.async_wait([this](const auto &ec) {
    if (!ec && !Deregistered)
      renew();
  });
}

void StoreRegistration::renew() {
  if (Lease == 0) {
    requestLease();
    return;
  }
  Store.send(StoreCallKind::Renew, renewLeaseCall(Lease), CallTimeout,
             [this](const StoreReply &reply) { onRenewed(reply); });
}

void StoreRegistration::onRenewed(const StoreReply &reply) {
  if (reply.Status != status::NotFound) {
    scheduleRenewal();
    return;
  }
  Lease = 0;
  requestLease();
}

void StoreRegistration::requestLease() {
  Store.send(StoreCallKind::Grant, grantLeaseCall(LeaseLifetime), CallTimeout,
             [this](const StoreReply &reply) {
               const auto lease = parseLease(reply.Body);
               if (reply.Status == status::Ok && lease) {
                 Lease = *lease;
                 writeEntry();
               }
               scheduleRenewal();
             });
}

void StoreRegistration::writeEntry() {
  Store.send(StoreCallKind::Register,
             transactionCall({{Key, Value, Lease, false, 0}}), CallTimeout,
             [this](const StoreReply &reply) {
               // The next renewal then requests a new lease.
               if (reply.Status != status::Ok)
                 Lease = 0;
             });
}

} // namespace cowslipridge::platform
