#pragma once

#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// How gateways pass their reports on to each other. The reports themselves are
/// opaque bytes here.
namespace cowslipridge::peers {

/// Version of the datagrams that this build understands; 0 stands for a build
/// that knows plain reports only.
inline constexpr unsigned ProtocolVersion = 1;

/// Orders the reports of one gateway.
struct ReportStamp {
  core::Incarnation Incarnation; ///< start of the gateway, Unix milliseconds
  std::uint64_t Sequence = 0;    ///< number within the incarnation
  friend auto operator<=>(const ReportStamp &, const ReportStamp &) = default;
};

/// One complete report of a gateway.
struct StampedReport {
  core::InstanceId Origin;
  ReportStamp Stamp;
  std::string Report;
  friend auto operator<=>(const StampedReport &,
                          const StampedReport &) = default;
};

/// How reports reach their receiver.
enum class BundleKind {
  Direct,    ///< the sender's own report
  Relayed,   ///< from another domain's relay, to be forwarded in this one
  Forwarded, ///< forwarded by a gateway of the receiver's domain
};

/// The content of one message between gateways.
struct Bundle {
  core::InstanceId Sender;
  BundleKind Kind = BundleKind::Direct;
  /// A relay sends the report to the other domains at once.
  bool Urgent = false;
  /// No reports of the receiver's domain reach the sender through relays: the
  /// receiver sends its own directly for a while.
  bool AsksForDirect = false;
  std::vector<StampedReport> Reports;
  friend auto operator<=>(const Bundle &, const Bundle &) = default;
};

} // namespace cowslipridge::peers
