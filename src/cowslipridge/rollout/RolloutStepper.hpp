#pragma once

#include "cowslipridge/backing/Store.hpp"
#include "cowslipridge/rollout/RolloutRecord.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace cowslipridge::rollout {

/// Maintains the stored roll-out record of one service: writes the actions of
/// ExposureGuard to it by compare-and-swap and reports each record that it
/// reads. Any number of processes may do so concurrently; if one stops
/// half-way, the others continue from the record. Thread-safe; never blocks.
/// Must be owned by a std::shared_ptr, because replies of the store may arrive
/// after the owner released it.
class RolloutStepper : public std::enable_shared_from_this<RolloutStepper> {
public:
  /// `onRecord` is called with every record that was read, on any thread.
  RolloutStepper(std::shared_ptr<backing::Store> store,
                 std::function<void(const RolloutRecord &)> onRecord);

  /// Applies a newer declaration. Does nothing else while it declares no
  /// roll-out.
  void configure(const config::ServiceDeclaration &service,
                 core::Generation generation);
  /// Writes an action to the record; retried until the record contains it.
  void perform(const RolloutAction &action);
  /// Reads the record again and retries pending actions; call it about once a
  /// second.
  void refresh();
  /// Returns the number of actions that the record does not contain yet.
  [[nodiscard]] std::size_t pending() const;

private:
  using Entry = std::optional<backing::StoreEntry>;

  struct NextOperation {
    std::optional<RolloutRecord> Stored;  ///< record of the declared roll-out
    std::optional<RolloutRecord> Desired; ///< to be written
    bool ReadAgain = false;
  };

  NextOperation decide(const core::Result<Entry> &entry);
  void writeRecord(const RolloutRecord &record, backing::Revision expected);
  void readRecord();
  void onRead(const core::Result<Entry> &entry);

  std::shared_ptr<backing::Store> Store;
  std::function<void(const RolloutRecord &)> OnRecord;
  mutable std::mutex Mutex;
  core::ServiceId Service;
  std::optional<config::RolloutDeclaration> Declared;
  core::Generation Configuration;
  std::vector<RolloutAction> Pending;
  bool OperationInProgress = false;
  bool RefreshRequested = false;
};

} // namespace cowslipridge::rollout
