#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/rollout/RolloutRecord.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace cowslipridge::rollout {

/// Keeps one service's roll-out record: writes the guard's actions to it by
/// compare-and-swap and reports what it says. Any number of processes may do
/// so at once; one that stops half-way leaves a record that the others go on
/// from. Thread-safe; never blocks. Held by std::shared_ptr, because replies of
/// the store may come late.
class RolloutStepper : public std::enable_shared_from_this<RolloutStepper> {
public:
  /// `onRecord` hears every record that was read; it is called on any thread.
  RolloutStepper(std::shared_ptr<backing::Store> store,
                 std::function<void(const RolloutRecord &)> onRecord);

  /// Takes a newer declaration. Without a roll-out nothing is done.
  void configure(const config::ServiceDeclaration &service,
                 core::Generation generation);
  /// Records an action; repeated until the record has it.
  void perform(const RolloutAction &action);
  /// Reads the record again and retries what the store has not taken; call it
  /// about once a second.
  void refresh();
  /// Actions that the record does not have yet.
  [[nodiscard]] std::size_t pending() const;

private:
  using Entry = std::optional<backing::StoreEntry>;

  struct NextMove {
    std::optional<RolloutRecord> Stored; ///< of the declared roll-out
    std::optional<RolloutRecord> Wanted; ///< to be written
    bool ReadsAgain = false;
  };

  NextMove decide(const core::Result<Entry> &entry);
  void writeRecord(const RolloutRecord &record, backing::Revision expected);
  void readRecord();
  void onRead(const core::Result<Entry> &entry);

  std::shared_ptr<backing::Store> Store;
  std::function<void(const RolloutRecord &)> OnRecord;
  mutable std::mutex Guard;
  core::ServiceId Service;
  std::optional<config::RolloutDeclaration> Declared;
  core::Generation Configuration;
  std::vector<RolloutAction> Pending;
  bool Busy = false;
  bool AskedAgain = false;
};

} // namespace cowslipridge::rollout
