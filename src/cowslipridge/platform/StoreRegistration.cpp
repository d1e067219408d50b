#include "cowslipridge/platform/StoreRegistration.hpp"

#include "cowslipridge/core/Chrono.hpp"

namespace cowslipridge::platform {

namespace {

constexpr core::Millis CallTimeout{800};
constexpr core::Millis LeaseLifetime{4'000};
/// Also how soon an outage of the store is noticed.
constexpr core::Millis RenewInterval{1'000};

} // namespace

StoreRegistration::StoreRegistration(boost::asio::io_context &loop,
                                     StoreContact &store)
    : Store(store), Timer(loop) {}

void StoreRegistration::start(std::string key, std::string value) {
  Key = std::move(key);
  Value = std::move(value);
  grant();
}

void StoreRegistration::deregister() {
  Leaving = true;
  Timer.cancel();
  if (Lease == 0)
    return;
  Store.send(StoreCallName::Release, endLeaseCall(Lease), CallTimeout,
             [](const StoreReply &) {
               // The lease ends by itself if this call was lost.
             });
}

void StoreRegistration::renewLater() {
  if (Leaving)
    return;
  Timer.expires_after(core::toChrono(RenewInterval));
  Timer.async_wait([this](const auto &ec) {
    if (!ec && !Leaving)
      renew();
  });
}

void StoreRegistration::renew() {
  if (Lease == 0) {
    grant();
    return;
  }
  Store.send(StoreCallName::Renew, renewLeaseCall(Lease), CallTimeout,
             [this](const StoreReply &reply) { onRenewed(reply); });
}

void StoreRegistration::onRenewed(const StoreReply &reply) {
  if (reply.Status != status::NotFound) {
    renewLater();
    return;
  }
  Lease = 0;
  grant();
}

void StoreRegistration::grant() {
  Store.send(StoreCallName::Grant, grantLeaseCall(LeaseLifetime), CallTimeout,
             [this](const StoreReply &reply) {
               const auto lease = parseLease(reply.Body);
               if (reply.Status == status::Ok && lease) {
                 Lease = *lease;
                 write();
               }
               renewLater();
             });
}

void StoreRegistration::write() {
  Store.send(StoreCallName::Register,
             writeCall({{Key, Value, Lease, false, 0}}), CallTimeout,
             [this](const StoreReply &reply) {
               // Begins anew with the next renewal.
               if (reply.Status != status::Ok)
                 Lease = 0;
             });
}

} // namespace cowslipridge::platform
