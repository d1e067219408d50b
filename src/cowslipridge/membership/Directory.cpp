#include "cowslipridge/membership/Directory.hpp"

#include <algorithm>

namespace cowslipridge::membership {

Directory::Directory(DirectorySettings settings) : Settings(settings) {}

DirectoryActions
Directory::onList(const std::vector<backing::InstanceRecord> &records,
                  core::Millis now) {
  DirectoryActions actions;
  for (const backing::InstanceRecord &it : records)
    applyListed(it, now, actions);
  return actions;
}

bool Directory::isStale(const backing::InstanceRecord &record) const {
  const auto it = Removed.find(record.Name);
  if (it == Removed.end())
    return false;
  return record.Start < it->second.Start ||
         (record.Start == it->second.Start && it->second.WasLeaving);
}

void Directory::recordRemoval(const Member &member, core::Millis now) {
  Removed[member.Record.Name] = {member.Record.Start,
                                 member.State == Liveness::Leaving, now};
  if (Removed.size() <= Settings.MaxRemovedMembers)
    return;
  const auto oldest = std::min_element(
      Removed.begin(), Removed.end(), [](const auto &a, const auto &b) {
        return a.second.RemovedAt < b.second.RemovedAt;
      });
  Removed.erase(oldest);
}

// The list lags behind: it never marks an incarnation that reported that it is
// leaving as live again, and never restores an older incarnation.
void Directory::applyListed(const backing::InstanceRecord &record,
                            core::Millis now, DirectoryActions &actions) {
  if (isStale(record))
    return;
  const auto [it, isNew] = Members.try_emplace(record.Name);
  Slot &slot = it->second;
  const bool replaces = !isNew && record.Start > slot.Value.Record.Start;
  if (!isNew && record.Start < slot.Value.Record.Start)
    return;
  slot.ListedAt = now;
  if (replaces)
    actions.emplace_back(DropMember{record.Name});
  if (isNew || replaces) {
    slot.Value = Member{record, Liveness::Live, now, 0};
    slot.ProbedAt = now;
    if (record.Leaving)
      slot.Value.State = Liveness::Leaving;
    actions.emplace_back(ConnectMember{record});
    return;
  }
  const bool leaving = slot.Value.State == Liveness::Leaving || record.Leaving;
  const bool moved = record.Address != slot.Value.Record.Address ||
                     record.RpcPort != slot.Value.Record.RpcPort;
  slot.Value.Record = record;
  slot.Value.Record.Leaving = leaving;
  if (leaving)
    slot.Value.State = Liveness::Leaving;
  if (moved) {
    actions.emplace_back(DropMember{record.Name});
    actions.emplace_back(ConnectMember{record});
  }
}

void Directory::onReply(const core::InstanceId &name, core::Incarnation start,
                        bool leaving, core::Millis now) {
  const auto it = Members.find(name);
  if (it == Members.end())
    return;
  Member &member = it->second.Value;
  if (start < member.Record.Start)
    return;
  if (start > member.Record.Start) {
    member.Record.Start = start;
    member.Record.Leaving = false;
    member.State = Liveness::Live;
  }
  member.LastReplyAt = now;
  member.ConsecutiveFailures = 0;
  if (leaving || member.State == Liveness::Leaving) {
    member.Record.Leaving = true;
    member.State = Liveness::Leaving;
    return;
  }
  member.State = Liveness::Live;
}

void Directory::onFailure(const core::InstanceId &name, core::Millis /*now*/) {
  const auto it = Members.find(name);
  if (it == Members.end())
    return;
  Member &member = it->second.Value;
  ++member.ConsecutiveFailures;
  const bool enough =
      member.ConsecutiveFailures >= Settings.SuspectAfterFailures;
  if (enough && member.State == Liveness::Live)
    member.State = Liveness::SuspectedFailed;
}

DirectoryActions Directory::tick(core::Millis now) {
  DirectoryActions actions;
  for (auto it = Members.begin(); it != Members.end();) {
    Slot &slot = it->second;
    if (isExpired(slot, now)) {
      actions.emplace_back(DropMember{it->first});
      recordRemoval(slot.Value, now);
      it = Members.erase(it);
      continue;
    }
    const core::Millis last = std::max(slot.Value.LastReplyAt, slot.ProbedAt);
    if (now - last >= Settings.ProbeInterval) {
      slot.ProbedAt = now;
      actions.emplace_back(ProbeMember{it->first});
    }
    ++it;
  }
  return actions;
}

bool Directory::isExpired(const Slot &slot, core::Millis now) const {
  const core::Millis last = std::max(slot.ListedAt, slot.Value.LastReplyAt);
  return now - last >= Settings.RemoveAfter;
}

const Member *Directory::find(const core::InstanceId &name) const {
  const auto it = Members.find(name);
  return it == Members.end() ? nullptr : &it->second.Value;
}

std::vector<Member> Directory::usable(const core::ServiceId &service) const {
  std::vector<Member> found;
  for (const auto &[name, slot] : Members) {
    const Member &member = slot.Value;
    const bool acceptsWork = member.State == Liveness::Live ||
                             member.State == Liveness::SuspectedFailed;
    if (acceptsWork && member.Record.Service == service)
      found.push_back(member);
  }
  return found;
}

std::vector<Member> Directory::all() const {
  std::vector<Member> found;
  for (const auto &[name, slot] : Members)
    found.push_back(slot.Value);
  return found;
}

} // namespace cowslipridge::membership
