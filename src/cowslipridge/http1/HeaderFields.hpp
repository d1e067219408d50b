#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::http1 {

/// Whether two header names are the same; case does not matter.
bool sameName(std::string_view a, std::string_view b);

struct HeaderField {
  std::string Name;
  std::string Value;
  friend auto operator<=>(const HeaderField &, const HeaderField &) = default;
};

/// The fields of one message in the order in which they came.
class HeaderFields {
public:
  void add(std::string_view name, std::string_view value);
  /// Replaces all fields of this name by one.
  void set(std::string_view name, std::string_view value);
  void remove(std::string_view name);
  /// The value of the first field of this name.
  [[nodiscard]] std::optional<std::string_view>
  find(std::string_view name) const;
  [[nodiscard]] std::size_t count(std::string_view name) const;
  /// Whether a comma-separated field holds `token`; case does not matter.
  [[nodiscard]] bool hasToken(std::string_view name,
                              std::string_view token) const;
  [[nodiscard]] const std::vector<HeaderField> &all() const { return Fields; }

  friend auto operator<=>(const HeaderFields &, const HeaderFields &) = default;

private:
  std::vector<HeaderField> Fields;
};

/// The fields that may be passed on: without those that concern only one
/// connection and those that `Connection` names.
HeaderFields endToEnd(const HeaderFields &fields);

} // namespace cowslipridge::http1
