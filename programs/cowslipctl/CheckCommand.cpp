#include "Commands.hpp"
#include "Files.hpp"

#include <iostream>

namespace cowslipridge::ctl {

ExitCode check(const Arguments &files) {
  if (files.empty())
    return failUsage("check needs at least one file");
  const auto checked = readAndCheckFiles(files);
  if (!checked)
    return ExitCode::Findings;
  std::cout << checked->Declarations.size() << " declarations and "
            << checked->Settings.size() << " settings files are valid\n";
  return ExitCode::Success;
}

} // namespace cowslipridge::ctl
