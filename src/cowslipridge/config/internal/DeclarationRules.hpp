#pragma once

#include "cowslipridge/config/Declaration.hpp"
#include "cowslipridge/config/internal/IniText.hpp"
#include "cowslipridge/core/Finding.hpp"

#include <map>
#include <string>

namespace cowslipridge::config::internal {

/// Where each section of a file stands, by its title.
using SectionPlaces = std::map<std::string, const IniSection *>;

/// Reports what is wrong between the parts of one declaration: versions that
/// do not exist, a roll-out that cannot run, keys that contradict each other.
void checkRules(const ServiceDeclaration &service, const SectionPlaces &places,
                const std::string &file, core::Findings &findings);

} // namespace cowslipridge::config::internal
