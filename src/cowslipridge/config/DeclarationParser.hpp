#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::config {

/// A declaration with the name of its file.
struct DeclarationFile {
  std::string File;
  ServiceDeclaration Service;
};

/// Parses the declaration of one service. On any error, returns nothing and
/// adds all findings to `findings`. `file` is the file name shown in findings.
std::optional<ServiceDeclaration> parseDeclaration(std::string_view text,
                                                   const std::string &file,
                                                   core::Findings &findings);

/// Reports contradictions between declarations that are each valid: a service
/// declared twice, or one API key that belongs to two organisations.
void checkConsistency(const std::vector<DeclarationFile> &files,
                      core::Findings &findings);

} // namespace cowslipridge::config
