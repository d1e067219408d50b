#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cowslipridge::core {

/// A string identifier whose type tells what it identifies, so that ids of
/// different kinds cannot be mixed up. Compares as its text.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string text) : Text(std::move(text)) {}

  [[nodiscard]] const std::string &str() const { return Text; }
  [[nodiscard]] bool empty() const { return Text.empty(); }

  friend auto operator<=>(const Id &, const Id &) = default;

private:
  std::string Text;
};

/// An organisation: a tenant whose requests are routed and billed.
using OrganisationId = Id<struct OrganisationTag>;
/// A service: one published endpoint, backed by models or a plain server.
using ServiceId = Id<struct ServiceTag>;
/// A version of a model or plain server, such as `fit-large@4`.
using VersionId = Id<struct VersionTag>;
/// A runner: one backend server with its sidecar.
using RunnerId = Id<struct RunnerTag>;
/// An instance: one machine slot that runs one daemon.
using InstanceId = Id<struct InstanceTag>;
/// A failure domain: instances that may fail together.
using FailureDomainId = Id<struct FailureDomainTag>;
/// One request of a caller; its retries carry the same id.
using RequestId = Id<struct RequestTag>;
/// One conversation of a caller.
using SessionId = Id<struct SessionTag>;

/// A monotonically increasing number whose type tells what it counts.
template <typename Tag> class Number {
public:
  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t value) : Value(value) {}

  [[nodiscard]] constexpr std::uint64_t value() const { return Value; }
  [[nodiscard]] constexpr Number next() const { return Number(Value + 1); }

  friend constexpr auto operator<=>(Number, Number) = default;

private:
  std::uint64_t Value = 0;
};

/// Identifies one published configuration; a higher one replaces a lower one.
using Generation = Number<struct GenerationTag>;
/// Identifies one start of a daemon; unique per start, never reused.
using Incarnation = Number<struct IncarnationTag>;
/// Fencing token of the calls to a runner; a runner that checks it rejects a
/// call whose number is lower than one it has already seen.
using FencingNumber = Number<struct FencingTag>;

} // namespace cowslipridge::core

template <typename Tag> struct std::hash<cowslipridge::core::Id<Tag>> {
  std::size_t operator()(const cowslipridge::core::Id<Tag> &id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};
