#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/config/internal/IniText.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <map>
#include <string>

namespace cowslipridge::config::internal {

/// The sections of a file by title.
using SectionsByTitle = std::map<std::string, const IniSection *>;

/// Reports contradictions between the parts of one declaration: undeclared
/// versions, an invalid roll-out, keys that contradict each other.
void checkRules(const ServiceDeclaration &service,
                const SectionsByTitle &sections, const std::string &file,
                core::Findings &findings);

} // namespace cowslipridge::config::internal
