#pragma once

#include "cowslipridge/core/Clock.hpp"
#include "cowslipridge/core/Ids.hpp"
#include "cowslipridge/observe/EventCatalogue.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// Numbered events, their bounded ring, logs and metrics.
namespace cowslipridge::observe {

/// One event of one process. `Sequence` orders the events of one incarnation;
/// `Cause` names the event of another process that this one follows from.
struct Event {
  EventNumber Number = EventNumber::ProcessStarted;
  core::Millis At; ///< wall time
  std::uint64_t Sequence = 0;
  core::InstanceId Instance;
  core::Incarnation Start;
  core::Generation Configuration;
  core::RequestId Request; ///< empty when no request is meant
  core::VersionId Version; ///< empty when no version is meant
  std::string Cause;       ///< `instance/incarnation/sequence`, or empty
  std::string Detail;      ///< free text for people
};

/// What a reporter fills in; the log adds time, sequence and identity.
struct EventFields {
  core::RequestId Request;
  core::VersionId Version;
  std::string Cause;
  std::string Detail;
};

class Metrics;

/// Takes the lines of a log. Must not block.
using LogSink = std::function<void(Severity level, const std::string &line)>;

/// Records events in a bounded ring and writes them to the log. Thread-safe.
class EventLog {
public:
  /// Keeps the last `capacity` events. Counts them in `counts`, which may be
  /// null.
  EventLog(const core::Clock &clock, core::InstanceId instance,
           core::Incarnation start, std::size_t capacity,
           Metrics *counts = nullptr);

  /// Lines go to `sink`, as JSON, instead of the process's log.
  void setSink(LogSink sink) { Sink = std::move(sink); }
  /// Records one event; returns its place, for use as a later `Cause`.
  std::string report(EventNumber number, EventFields fields);
  void setGeneration(core::Generation generation);
  /// Events with a sequence above `after`, oldest first.
  [[nodiscard]] std::vector<Event> since(std::uint64_t after) const;

private:
  const core::Clock &Time;
  const core::InstanceId Instance;
  const core::Incarnation Start;
  const std::size_t Capacity;
  Metrics *const Counts;
  mutable std::mutex Guard;
  core::Generation Configuration;
  std::uint64_t NextSequence = 1;
  std::deque<Event> Ring;
  LogSink Sink;
};

/// Directs log output to standard output, as text or as JSON lines.
void configureLogging(bool json);

} // namespace cowslipridge::observe
