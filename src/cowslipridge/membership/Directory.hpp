#pragma once

#include "cowslipridge/backing/InstanceList.hpp"
#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// Decides which instances are live, leaving or suspected to have failed.
/// Performs no I/O.
namespace cowslipridge::membership {

enum class Liveness { Live, SuspectedFailed, Leaving, Removed };

struct Member {
  backing::InstanceRecord Record;
  Liveness State = Liveness::Live;
  core::Millis LastReplyAt; ///< monotonic time of the last direct reply
  unsigned ConsecutiveFailures = 0;
};

struct DirectorySettings {
  unsigned SuspectAfterFailures = 2;
  core::Millis ProbeInterval{1'000}; ///< for members without other traffic
  /// Time without a listing or a reply after which a member is removed.
  core::Millis RemoveAfter{10'000};
  /// Number of removed members whose newest incarnation is remembered.
  std::size_t MaxRemovedMembers = 4'096;
};

/// Connects to the member.
struct ConnectMember {
  backing::InstanceRecord Record;
};
/// Closes the connection to the member.
struct DropMember {
  core::InstanceId Name;
};
/// Requests the member's status.
struct ProbeMember {
  core::InstanceId Name;
};

using DirectoryAction = std::variant<ConnectMember, DropMember, ProbeMember>;
using DirectoryActions = std::vector<DirectoryAction>;

/// Merges the instance list, which lags behind, with the direct replies of
/// members. A direct reply (leaving, a newer incarnation) takes precedence over
/// the list.
class Directory {
public:
  explicit Directory(DirectorySettings settings);

  DirectoryActions onList(const std::vector<backing::InstanceRecord> &records,
                          core::Millis now);
  void onReply(const core::InstanceId &name, core::Incarnation start,
               bool leaving, core::Millis now);
  void onFailure(const core::InstanceId &name, core::Millis now);
  DirectoryActions tick(core::Millis now);

  [[nodiscard]] const Member *find(const core::InstanceId &name) const;
  /// Returns the members that accept new requests for `service`, ordered by
  /// name.
  [[nodiscard]] std::vector<Member>
  usable(const core::ServiceId &service) const;
  [[nodiscard]] std::vector<Member> all() const;

private:
  struct Slot {
    Member Value;
    core::Millis ListedAt;
    core::Millis ProbedAt;
  };

  /// The newest known incarnation of a member that was removed.
  struct RemovedMember {
    core::Incarnation Start;
    bool WasLeaving = false; ///< it reported that it is leaving
    core::Millis RemovedAt;
  };

  void applyListed(const backing::InstanceRecord &record, core::Millis now,
                   DirectoryActions &actions);
  [[nodiscard]] bool isExpired(const Slot &slot, core::Millis now) const;
  [[nodiscard]] bool isStale(const backing::InstanceRecord &record) const;
  void recordRemoval(const Member &member, core::Millis now);

  DirectorySettings Settings;
  std::map<core::InstanceId, Slot> Members;
  std::map<core::InstanceId, RemovedMember> Removed;
};

} // namespace cowslipridge::membership
