#include "Files.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace cowslipridge::ctl {

namespace {

std::vector<config::SourceFile> readFiles(const Arguments &files,
                                          core::Findings &findings) {
  std::vector<config::SourceFile> sources;
  for (const std::string &name : files) {
    std::ifstream file(name, std::ios::binary);
    std::ostringstream text;
    if (file)
      text << file.rdbuf();
    if (file && text)
      sources.push_back({name, text.str()});
    else
      findings.add({.File = name,
                    .Line = 0,
                    .Section = "",
                    .Key = "",
                    .Message = "the file cannot be read",
                    .Suggestion = "the name of a readable file"});
  }
  return sources;
}

} // namespace

std::optional<config::CheckedFiles> readAndCheckFiles(const Arguments &files) {
  core::Findings findings;
  const auto sources = readFiles(files, findings);
  auto checked = config::checkFiles(sources, findings);
  printFindings(findings);
  if (!findings.empty())
    return std::nullopt;
  return checked;
}

void printFindings(const core::Findings &findings) {
  for (const core::Finding &it : findings.items())
    std::cerr << core::toString(it) << "\n";
}

std::optional<std::string> readKeyFile(const std::string &name) {
  std::ifstream file(name);
  std::string key;
  if (std::getline(file, key) && !key.empty())
    return key;
  std::cerr << "cowslipctl: cannot read the admin key from '" << name << "'\n";
  return std::nullopt;
}

} // namespace cowslipridge::ctl
