#include "cowslipridge/platform/StoreRegistration.hpp"

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

void StoreRegistration::registerAgain() {
  if (Deregistered)
    return;
  ++Attempt;
  Timer.cancel();
  Lease = 0;
  invalidate();
  requestLease();
}

void StoreRegistration::deregister() {
  Deregistered = true;
  ++Attempt;
  Timer.cancel();
  // In another era, the id may belong to the lease of another gateway.
  if (Lease == 0 || LeaseEra != Store.era())
    return;
  Store.send(StoreCallKind::Release, revokeLeaseCall(Lease), CallTimeout,
             [](const StoreReply &) {
               // If this call fails, the lease expires by itself.
             });
}

void StoreRegistration::send(StoreCallKind kind, const StoreCall &call,
                             StoreClient::Callback callback) {
  Store.send(kind, call, CallTimeout,
             [this, attempt = Attempt,
              callback = std::move(callback)](const StoreReply &reply) {
               if (attempt == Attempt)
                 callback(reply);
             });
}

void StoreRegistration::scheduleRenewal() {
  Timer.start(RenewInterval, [this] { renew(); });
}

void StoreRegistration::renew() {
  if (Lease == 0) {
    requestLease();
    return;
  }
  send(StoreCallKind::Renew, renewLeaseCall(Lease),
       [this, sentAt = Store.now()](const StoreReply &reply) {
         if (reply.Status == status::NotFound) {
           registerAgain();
           return;
         }
         if (reply.Status == status::Ok)
           confirm(sentAt);
         scheduleRenewal();
       });
}

// The lease runs from the arrival of the call, which is not before it was sent.
void StoreRegistration::confirm(core::Millis sentAt) {
  if (RegisteredAt && OnChange)
    OnChange({*RegisteredAt, sentAt + LeaseLifetime});
}

void StoreRegistration::invalidate() {
  RegisteredAt.reset();
  if (OnChange)
    OnChange({Store.now(), Store.now()});
}

void StoreRegistration::requestLease() {
  GrantSentAt = Store.now();
  send(StoreCallKind::Grant, grantLeaseCall(LeaseLifetime),
       [this](const StoreReply &reply) { onGranted(reply); });
}

void StoreRegistration::onGranted(const StoreReply &reply) {
  const auto lease = parseLease(reply.Body);
  if (reply.Status == status::Ok && lease) {
    Lease = *lease;
    LeaseEra = reply.Era;
    writeEntry();
  }
  scheduleRenewal();
}

void StoreRegistration::writeEntry() {
  send(StoreCallKind::Register,
       transactionCall({{}, {{Key, Value, Lease}}, {}}),
       [this](const StoreReply &reply) {
         if (reply.Status == status::Ok) {
           RegisteredAt = Store.now();
           confirm(GrantSentAt);
           return;
         }
         // The next renewal then requests a new lease.
         Lease = 0;
       });
}

} // namespace cowslipridge::platform
