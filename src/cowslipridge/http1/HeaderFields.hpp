#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::http1 {

/// Returns whether two header names are equal, ignoring case.
bool sameName(std::string_view a, std::string_view b);

struct HeaderField {
  std::string Name;
  std::string Value;
  friend auto operator<=>(const HeaderField &, const HeaderField &) = default;
};

/// The header fields of one message in the order of arrival.
class HeaderFields {
public:
  void add(std::string_view name, std::string_view value);
  /// Replaces all fields of this name by a single one.
  void set(std::string_view name, std::string_view value);
  void remove(std::string_view name);
  /// Returns the value of the first field of this name.
  [[nodiscard]] std::optional<std::string_view>
  find(std::string_view name) const;
  [[nodiscard]] std::size_t count(std::string_view name) const;
  /// Returns whether a comma-separated list field contains `token`, ignoring
  /// case.
  [[nodiscard]] bool hasToken(std::string_view name,
                              std::string_view token) const;
  [[nodiscard]] const std::vector<HeaderField> &all() const { return Fields; }

  friend auto operator<=>(const HeaderFields &, const HeaderFields &) = default;

private:
  std::vector<HeaderField> Fields;
};

/// Returns the end-to-end fields, which a proxy may forward: all but the
/// hop-by-hop fields and those that a `Connection` field lists.
HeaderFields endToEnd(const HeaderFields &fields);

} // namespace cowslipridge::http1
