#include "Commands.hpp"
#include "Files.hpp"
#include "Fleet.hpp"
#include "Platform.hpp"

#include <gflags/gflags.h>

#include <iostream>

DECLARE_string(admin_key_file);

namespace cowslipridge::ctl {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

} // namespace

ExitCode explain(const Arguments &requestAndLogs) {
  if (requestAndLogs.empty())
    return failUsage("explain needs a request id");
  const std::string &request = requestAndLogs.front();
  if (requestAndLogs.size() > 1)
    return showLogs({requestAndLogs.begin() + 1, requestAndLogs.end()},
                    request);
  const auto key = readKeyFile(FLAGS_admin_key_file);
  if (!key)
    return ExitCode::Usage;
  const auto instances = fetchInstances();
  if (!instances)
    return ExitCode::Unreachable;
  const auto answers =
      queryInstances(*instances, "/admin/explain?request=" + request, *key);
  bool found = false;
  bool complete = true;
  for (const InstanceAnswer &it : answers) {
    const int status = it.Answer.ok() ? it.Answer->Status : 0;
    complete = complete && (status == StatusOk || status == StatusNotFound);
    if (status != StatusOk)
      continue;
    found = true;
    std::cout << it.Instance.Name.str() << ": " << it.Answer->Body << "\n";
  }
  if (!complete)
    std::cerr << "cowslipctl: some instances did not respond\n";
  if (found)
    return ExitCode::Success;
  std::cerr << "cowslipctl: no instance has a record of request " << request
            << "\n";
  return complete ? ExitCode::Findings : ExitCode::Unreachable;
}

} // namespace cowslipridge::ctl
