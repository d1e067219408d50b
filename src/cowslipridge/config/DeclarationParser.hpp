#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::config {

/// A declaration with the file that it came from.
struct DeclarationFile {
  std::string File;
  ServiceDeclaration Service;
};

/// Reads one service's declaration. Returns nothing, and all findings
/// together, when anything is wrong. `file` names the text in findings.
std::optional<ServiceDeclaration> parseDeclaration(std::string_view text,
                                                   const std::string &file,
                                                   core::Findings &findings);

/// Reports what is wrong between declarations that are each valid: a service
/// declared twice, or one API key that belongs to two organisations.
void checkTogether(const std::vector<DeclarationFile> &files,
                   core::Findings &findings);

} // namespace cowslipridge::config
