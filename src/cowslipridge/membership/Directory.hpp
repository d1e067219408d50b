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

/// Which instances are live, leaving or suspect: pure decisions.
namespace cowslipridge::membership {

enum class Liveness { Live, Suspect, Leaving, Gone };

struct Member {
  backing::InstanceRecord Record;
  Liveness State = Liveness::Live;
  core::Millis LastReplyAt; ///< monotonic; of the last direct reply
  unsigned ConsecutiveFailures = 0;
};

struct DirectorySettings {
  unsigned SuspectAfterFailures = 2;
  core::Millis ProbeInterval{1'000}; ///< for members that no traffic reaches
  core::Millis RemoveAfter{10'000};  ///< silent and unlisted for this long
  std::size_t MaxRemovedMembers = 4'096; ///< former members that are remembered
};

/// Connect to the member.
struct ConnectMember {
  backing::InstanceRecord Record;
};
/// Drop the connection to the member.
struct DropMember {
  core::InstanceId Name;
};
/// Ask the member for its status.
struct ProbeMember {
  core::InstanceId Name;
};

using DirectoryAction = std::variant<ConnectMember, DropMember, ProbeMember>;
using DirectoryActions = std::vector<DirectoryAction>;

/// Merges the lagging instance list with what replies say directly. A direct
/// word (leaving, a newer incarnation) wins over the list.
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
  /// Members that may be given new work for `service`, in order of name.
  [[nodiscard]] std::vector<Member>
  usable(const core::ServiceId &service) const;
  [[nodiscard]] std::vector<Member> all() const;

private:
  struct Slot {
    Member Value;
    core::Millis ListedAt;
    core::Millis ProbedAt;
  };

  /// The newest incarnation known of a member that is no longer tracked.
  struct RemovedMember {
    core::Incarnation Start;
    bool Left = false; ///< it said that it is leaving
    core::Millis At;
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
