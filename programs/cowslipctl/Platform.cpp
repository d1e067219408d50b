#include "Platform.hpp"

#include "cowslipridge/backing/ConsulInstanceList.hpp"
#include "cowslipridge/backing/ConsulStore.hpp"
#include "cowslipridge/core/Error.hpp"

#include <gflags/gflags.h>

#include <future>
#include <iostream>

DEFINE_string(store, "", "address of the key-value service, http://IP:PORT");
DEFINE_string(instances, "", "address of the instance list, http://IP:PORT");
DEFINE_string(admin_key_file, "", "file whose first line is the admin key");

namespace cowslipridge::ctl {

namespace {

constexpr core::Millis PlatformTimeout{5'000};

} // namespace

std::shared_ptr<backing::Store> openStore() {
  if (!FLAGS_store.empty())
    return backing::makeConsulStore(FLAGS_store, PlatformTimeout);
  std::cerr << "cowslipctl: --store URL is missing\n";
  return nullptr;
}

std::optional<std::vector<backing::InstanceRecord>> fetchInstances() {
  if (FLAGS_instances.empty()) {
    std::cerr << "cowslipctl: --instances URL is missing\n";
    return std::nullopt;
  }
  using Records = core::Result<std::vector<backing::InstanceRecord>>;
  const auto list =
      backing::makeConsulInstanceList(FLAGS_instances, PlatformTimeout);
  const auto promise = std::make_shared<std::promise<Records>>();
  list->fetch(
      [promise](Records records) { promise->set_value(std::move(records)); });
  Records records = promise->get_future().get();
  if (records.ok())
    return std::move(records).value();
  std::cerr << "cowslipctl: cannot fetch the instance list: "
            << records.error().message() << "\n";
  return std::nullopt;
}

} // namespace cowslipridge::ctl
