#include "Commands.hpp"
#include "Files.hpp"
#include "Fleet.hpp"
#include "Platform.hpp"

#include "cowslipridge/config/BundleReader.hpp"

#include <gflags/gflags.h>

#include <iostream>

DECLARE_string(instances);
DECLARE_string(admin_key_file);

namespace cowslipridge::ctl {

namespace {

std::string_view stateName(config::VersionState state) {
  switch (state) {
  case config::VersionState::Active:
    return "active";
  case config::VersionState::Trial:
    return "trial";
  case config::VersionState::Withdrawn:
    break;
  }
  return "withdrawn";
}

void printService(const config::ServiceDeclaration &service,
                  const config::ManifestEntry &entry) {
  std::cout << service.Name.str() << ": changed in generation "
            << entry.ChangedAt.value() << " by " << entry.Publisher << "\n";
  for (const config::VersionDeclaration &it : service.Versions)
    std::cout << "  " << it.Name.str() << " " << stateName(it.State) << "\n";
}

void printBundle(const config::StoredBundle &stored) {
  std::cout << "generation " << stored.Index.Number.value() << "\n";
  for (const auto &[name, service] : stored.Services.Services)
    printService(service, stored.Index.Services.at(name));
}

ExitCode printInstances() {
  const auto key = readKeyFile(FLAGS_admin_key_file);
  if (!key)
    return ExitCode::Usage;
  const auto instances = fetchInstances();
  if (!instances)
    return ExitCode::Unreachable;
  const auto answers = queryInstances(*instances, "/admin/status", *key);
  for (const InstanceAnswer &it : answers) {
    std::cout << it.Instance.Name.str() << " " << it.Instance.Domain.str()
              << (it.Instance.Leaving ? " leaving " : " ")
              << (it.Answer.ok() ? it.Answer->Body : "unreachable") << "\n";
  }
  return printFailedInstances(answers) ? ExitCode::Success
                                       : ExitCode::Unreachable;
}

} // namespace

ExitCode status(const Arguments &arguments) {
  if (!arguments.empty())
    return failUsage("status takes no arguments");
  const auto store = openStore();
  if (!store)
    return ExitCode::Usage;
  const auto stored = config::readStoredBundle(*store);
  if (stored.ok())
    printBundle(*stored);
  else
    std::cerr << "cowslipctl: " << stored.error().message() << "\n";
  const ExitCode instances =
      FLAGS_instances.empty() ? ExitCode::Success : printInstances();
  return stored.ok() ? instances : ExitCode::Unreachable;
}

} // namespace cowslipridge::ctl
