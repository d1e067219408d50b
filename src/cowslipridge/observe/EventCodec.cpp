#include "cowslipridge/observe/EventCodec.hpp"

#include "cowslipridge/core/Error.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::observe {

namespace {

using nlohmann::json;

json toJson(const Event &event) {
  return {{"event", static_cast<int>(event.Number)},
          {"name", describe(event.Number).Name},
          {"at_ms", event.At.count()},
          {"sequence", event.Sequence},
          {"instance", event.Instance.str()},
          {"incarnation", event.Start.value()},
          {"generation", event.Configuration.value()},
          {"request", event.Request.str()},
          {"version", event.Version.str()},
          {"cause", event.Cause},
          {"detail", event.Detail}};
}

std::string textAt(const json &value, const char *key) {
  return value.at(key).get<std::string>();
}

Event eventFrom(const json &value) {
  Event event;
  event.Number = static_cast<EventNumber>(value.at("event").get<int>());
  event.At = core::Millis(value.at("at_ms").get<std::int64_t>());
  event.Sequence = value.at("sequence").get<std::uint64_t>();
  event.Instance = core::InstanceId(textAt(value, "instance"));
  event.Start = core::Incarnation(value.at("incarnation").get<std::uint64_t>());
  event.Configuration =
      core::Generation(value.at("generation").get<std::uint64_t>());
  event.Request = core::RequestId(textAt(value, "request"));
  event.Version = core::VersionId(textAt(value, "version"));
  event.Cause = textAt(value, "cause");
  event.Detail = textAt(value, "detail");
  return event;
}

// Replaces invalid UTF-8, because details may contain arbitrary bytes from a
// peer or the store.
std::string dump(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encodeEvent(const Event &event) { return dump(toJson(event)); }

core::Result<Event> decodeEvent(std::string_view line) {
  try {
    return eventFrom(json::parse(line));
  } catch (const std::exception &) {
    return core::Errc::Malformed;
  }
}

std::string encodeEvents(const std::vector<Event> &events) {
  json list = json::array();
  for (const Event &it : events)
    list.push_back(toJson(it));
  return dump({{"events", std::move(list)}});
}

core::Result<std::vector<Event>> decodeEvents(std::string_view text) {
  try {
    const json page = json::parse(text);
    std::vector<Event> events;
    for (const json &it : page.at("events"))
      events.push_back(eventFrom(it));
    return events;
  } catch (const std::exception &) {
    return core::Errc::Malformed;
  }
}

} // namespace cowslipridge::observe
