#pragma once

#include <system_error>
#include <utility>
#include <variant>

namespace cowslipridge::core {

/// A value, or the error code of the failure.
template <typename T> class Result {
public:
  // Implicit, so that `return value;` and `return Errc::X;` both work.
  Result(T value) : State(std::move(value)) {}
  Result(std::error_code ec) : State(ec) {}
  template <typename Enum>
  requires std::is_error_code_enum<Enum>::value Result(Enum ec)
      : State(std::error_code(ec)) {}

  [[nodiscard]] bool ok() const { return State.index() == 0; }
  explicit operator bool() const { return ok(); }

  /// The value; may only be called when ok().
  [[nodiscard]] const T &value() const & { return std::get<0>(State); }
  [[nodiscard]] T &&value() && { return std::get<0>(std::move(State)); }
  const T &operator*() const { return value(); }
  const T *operator->() const { return &value(); }

  /// The error, or the default error code (success) when ok().
  [[nodiscard]] std::error_code error() const {
    return ok() ? std::error_code() : std::get<1>(State);
  }

private:
  std::variant<T, std::error_code> State;
};

} // namespace cowslipridge::core
