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

/// Numbered events with their ring buffer, log and timeline; and metrics.
namespace cowslipridge::observe {

/// One event of one process. `Sequence` orders the events of one incarnation;
/// `Cause` is the id of the event, usually of another process, that led to this
/// one.
struct Event {
  EventNumber Number = EventNumber::ProcessStarted;
  core::Millis At; ///< wall time
  std::uint64_t Sequence = 0;
  core::InstanceId Instance;
  core::Incarnation Start;
  core::Generation Configuration;
  core::RequestId Request; ///< empty when the event concerns no request
  core::VersionId Version; ///< empty when the event concerns no version
  std::string Cause;       ///< `instance/incarnation/sequence`, or empty
  std::string Detail;      ///< human-readable text
};

/// The fields of an event that the caller of EventLog::report provides; the log
/// adds time, sequence, instance, incarnation and generation.
struct EventFields {
  core::RequestId Request;
  core::VersionId Version;
  std::string Cause;
  std::string Detail;
};

class Metrics;

/// Receives the lines of a log. Must not block.
using LogSink = std::function<void(Severity level, const std::string &line)>;

/// Records events in a ring buffer and writes them to the log. Thread-safe.
class EventLog {
public:
  /// Keeps the last `capacity` events. Counts all events in `metrics`, which
  /// may be null.
  EventLog(const core::Clock &clock, core::InstanceId instance,
           core::Incarnation start, std::size_t capacity,
           Metrics *metrics = nullptr);

  /// Writes lines to `sink`, as JSON, instead of to the process's log.
  void setSink(LogSink sink) { Sink = std::move(sink); }
  /// Records one event; returns its id, for use as the `Cause` of later events.
  std::string report(EventNumber number, EventFields fields);
  /// Sets the configuration generation that later events carry.
  void setGeneration(core::Generation generation);
  /// Returns the events with a sequence above `after`, oldest first.
  [[nodiscard]] std::vector<Event> since(std::uint64_t after) const;

private:
  const core::Clock &Time;
  const core::InstanceId Instance;
  const core::Incarnation Start;
  const std::size_t Capacity;
  Metrics *const EventCounter;
  mutable std::mutex Guard;
  core::Generation Configuration;
  std::uint64_t NextSequence = 1;
  std::deque<Event> Ring;
  LogSink Sink;
};

/// Directs log output to standard output, as text or as JSON lines.
void configureLogging(bool json);

} // namespace cowslipridge::observe
