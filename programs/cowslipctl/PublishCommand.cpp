#include "Commands.hpp"
#include "Files.hpp"
#include "Platform.hpp"

#include "cowslipridge/config/Publisher.hpp"
#include "cowslipridge/core/Visit.hpp"

#include <gflags/gflags.h>

#include <array>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(publisher, "",
              "your name, shown to other publishers on a conflict");
DEFINE_uint64(base, 0,
              "the generation that your files were based on; 0 means the one "
              "in force now");
DEFINE_string(remove, "", "services to remove, separated by commas");

namespace cowslipridge::ctl {

namespace {

constexpr std::size_t PublicationIdWords = 4;

/// Returns an id unique to this run. It identifies this publication in the
/// store if the store's reply to the write was lost.
std::string newPublicationId() {
  std::random_device device;
  std::ostringstream id;
  id << std::hex;
  for (std::size_t n = 0; n < PublicationIdWords; ++n)
    id << device();
  return id.str();
}

std::vector<core::ServiceId> splitServices(const std::string &text) {
  std::vector<core::ServiceId> services;
  std::istringstream words(text);
  for (std::string it; std::getline(words, it, ',');) {
    if (!it.empty())
      services.emplace_back(it);
  }
  return services;
}

config::Publication makePublication(config::CheckedFiles files) {
  config::Publication publication;
  publication.Id = newPublicationId();
  publication.Publisher = FLAGS_publisher;
  for (config::DeclarationFile &it : files.Declarations)
    publication.Services.push_back(std::move(it.Service));
  publication.Removed = splitServices(FLAGS_remove);
  if (FLAGS_base != 0)
    publication.Base = core::Generation(FLAGS_base);
  return publication;
}

ExitCode report(const config::Published &result) {
  std::cout << "generation " << result.Number.value() << " is in force\n";
  return ExitCode::Success;
}

ExitCode report(const config::AlreadyInForce &result) {
  std::cout << "nothing to change: generation " << result.Number.value()
            << " already has the same content\n";
  return ExitCode::Success;
}

ExitCode report(const config::PublishConflict &result) {
  std::cerr << "cowslipctl: conflict: '" << result.Publisher << "' changed "
            << result.Service.str() << " in generation "
            << result.ChangedAt.value() << "\n";
  if (result.MayHaveBeenInForce)
    std::cerr << "cowslipctl: your change may have been in force before it\n";
  return ExitCode::Conflict;
}

ExitCode report(const config::PublishRefused &result) {
  printFindings(result.Reasons);
  return ExitCode::Findings;
}

ExitCode report(const config::PublishFailed &result) {
  std::cerr << "cowslipctl: " << result.Reason.message() << "\n";
  if (!result.MayBeInForce)
    return ExitCode::Unreachable;
  std::cerr << "cowslipctl: the change may be in force; publish again to "
               "make sure\n";
  return ExitCode::Unknown;
}

} // namespace

ExitCode publish(const Arguments &files) {
  if (FLAGS_publisher.empty())
    return failUsage("publish needs --publisher NAME");
  if (files.empty() && FLAGS_remove.empty())
    return failUsage("publish needs at least one file, or --remove SERVICE");
  const auto store = openStore();
  if (!store)
    return ExitCode::Usage;
  auto checked = readAndCheckFiles(files);
  if (!checked)
    return ExitCode::Findings;
  if (!checked->Settings.empty())
    return failUsage(
        checked->Settings.front().File +
        " contains daemon settings; publish accepts only declarations");
  const config::Publication publication = makePublication(std::move(*checked));
  const auto result = config::Publisher(*store).publish(publication);
  return std::visit([](const auto &x) { return report(x); }, result);
}

} // namespace cowslipridge::ctl
