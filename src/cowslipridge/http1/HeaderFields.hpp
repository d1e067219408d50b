#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipridge::http1 {

/// Returns whether two header names are equal, ignoring case.
bool sameName(std::string_view a, std::string_view b);

/// A field of a HeaderFields. Valid until these are changed or destroyed.
struct HeaderField {
  std::string_view Name;
  std::string_view Value;
  friend bool operator==(const HeaderField &, const HeaderField &) = default;
};

/// The header fields of one message in the order of arrival.
///
/// The text of all fields is held in one string, so that a message of very many
/// short fields takes up little more than its bytes. The fields of one message
/// have less than 4 GiB of text.
class HeaderFields {
  /// The place of a field in the text, which holds its name and then its value.
  struct Span {
    std::uint32_t Begin = 0;
    std::uint32_t NameBytes = 0;
    std::uint32_t ValueBytes = 0;
  };

public:
  /// Iterates over the fields in the order of their arrival.
  class Iterator {
  public:
    using value_type = HeaderField;

    Iterator() = default;
    HeaderField operator*() const { return Fields->at(*Position); }
    Iterator &operator++() {
      ++Position;
      return *this;
    }
    Iterator operator++(int) {
      const Iterator before = *this;
      ++Position;
      return before;
    }
    friend bool operator==(const Iterator &a, const Iterator &b) {
      return a.Position == b.Position;
    }
    friend std::ptrdiff_t operator-(const Iterator &a, const Iterator &b) {
      return a.Position - b.Position;
    }

  private:
    friend class HeaderFields;
    Iterator(const HeaderFields &fields,
             std::vector<Span>::const_iterator position)
        : Fields(&fields), Position(position) {}
    const HeaderFields *Fields = nullptr;
    std::vector<Span>::const_iterator Position;
  };

  /// Neither text may be one of these fields.
  void add(std::string_view name, std::string_view value);
  /// Replaces all fields of this name by a single one.
  void set(std::string_view name, std::string_view value);
  void remove(std::string_view name);
  /// Returns the value of the first field of this name.
  [[nodiscard]] std::optional<std::string_view>
  find(std::string_view name) const;
  [[nodiscard]] std::size_t count(std::string_view name) const;
  /// Returns whether fields of this name have different values.
  [[nodiscard]] bool hasConflict(std::string_view name) const;
  /// Returns whether a comma-separated list field contains `token`, ignoring
  /// case.
  [[nodiscard]] bool hasToken(std::string_view name,
                              std::string_view token) const;
  [[nodiscard]] Iterator begin() const { return {*this, Spans.begin()}; }
  [[nodiscard]] Iterator end() const { return {*this, Spans.end()}; }
  /// Returns the bytes of memory that the fields take up.
  [[nodiscard]] std::size_t heldBytes() const {
    return Text.capacity() + Spans.capacity() * sizeof(Span);
  }

  friend bool operator==(const HeaderFields &a, const HeaderFields &b);

private:
  [[nodiscard]] HeaderField at(const Span &span) const;

  std::string Text; ///< also of fields that were removed
  std::vector<Span> Spans;
};

/// Returns the end-to-end fields, which a proxy may forward: all but the
/// hop-by-hop fields and those that a `Connection` field lists.
HeaderFields endToEnd(const HeaderFields &fields);

} // namespace cowslipridge::http1
