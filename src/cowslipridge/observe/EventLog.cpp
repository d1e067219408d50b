#include "cowslipridge/observe/EventLog.hpp"

#include "cowslipridge/observe/EventCodec.hpp"
#include "cowslipridge/observe/Metrics.hpp"

#include <easylogging++.h>

namespace cowslipridge::observe {

namespace {

bool LogAsJson = false;

std::string toLogText(const Event &event) {
  std::string text = std::to_string(static_cast<int>(event.Number));
  text += " ";
  text += describe(event.Number).Name;
  if (!event.Request.empty())
    text += " request=" + event.Request.str();
  if (!event.Version.empty())
    text += " version=" + event.Version.str();
  if (!event.Detail.empty())
    text += " " + event.Detail;
  return text;
}

void writeToLog(const Event &event) {
  const std::string text = LogAsJson ? encodeEvent(event) : toLogText(event);
  switch (describe(event.Number).Level) {
  case Severity::Info:
    LOG(INFO) << text;
    break;
  case Severity::Warning:
    LOG(WARNING) << text;
    break;
  case Severity::Error:
    LOG(ERROR) << text;
    break;
  }
}

} // namespace

EventLog::EventLog(const core::Clock &clock, core::InstanceId instance,
                   core::Incarnation start, std::size_t capacity,
                   Metrics *metrics)
    : Time(clock), Instance(std::move(instance)), Start(start),
      Capacity(capacity), EventCounter(metrics) {}

std::string EventLog::report(EventNumber number, EventFields fields) {
  Event event;
  event.Number = number;
  event.At = Time.wall();
  event.Instance = Instance;
  event.Start = Start;
  event.Request = std::move(fields.Request);
  event.Version = std::move(fields.Version);
  event.Cause = std::move(fields.Cause);
  event.Detail = std::move(fields.Detail);
  {
    const std::lock_guard lock(Guard);
    event.Sequence = NextSequence++;
    event.Configuration = Configuration;
    Ring.push_back(event);
    if (Ring.size() > Capacity)
      Ring.pop_front();
  }
  if (EventCounter != nullptr)
    EventCounter->add(number);
  if (Sink)
    Sink(describe(event.Number).Level, encodeEvent(event));
  else
    writeToLog(event);
  return Instance.str() + "/" + std::to_string(Start.value()) + "/" +
         std::to_string(event.Sequence);
}

void EventLog::setGeneration(core::Generation generation) {
  const std::lock_guard lock(Guard);
  Configuration = generation;
}

std::vector<Event> EventLog::since(std::uint64_t after) const {
  const std::lock_guard lock(Guard);
  std::vector<Event> events;
  for (const Event &it : Ring) {
    if (it.Sequence > after)
      events.push_back(it);
  }
  return events;
}

void configureLogging(bool json) {
  LogAsJson = json;
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  settings.setGlobally(el::ConfigurationType::Format,
                       json ? "%msg" : "%datetime{%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureAllLoggers(settings);
}

} // namespace cowslipridge::observe
