#include "standins/Faults.hpp"

#include <nlohmann/json.hpp>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

std::string_view toString(Outage outage) {
  switch (outage) {
  case Outage::Refuse:
    return "refuse";
  case Outage::Hang:
    return "hang";
  case Outage::None:
    break;
  }
  return "none";
}

Outage parseOutage(const std::string &text) {
  if (text == "refuse")
    return Outage::Refuse;
  if (text == "hang")
    return Outage::Hang;
  if (text == "none")
    return Outage::None;
  throw json::other_error::create(501, "unknown outage", nullptr);
}

/// Sets one fault by its name; throws on a wrong type or an unknown name.
void setFault(Faults &faults, const std::string &name, const json &value) {
  if (name == "outage")
    faults.Down = parseOutage(value.get<std::string>());
  else if (name == "delay_ms")
    faults.Delay = core::Millis(value.get<std::int64_t>());
  else if (name == "slow_factor")
    faults.SlowFactor = value.get<double>();
  else if (name == "status")
    faults.Status = value.get<int>();
  else if (name == "lose_replies")
    faults.LoseReplies = value.get<unsigned>();
  else if (name == "lose_reply_chance")
    faults.LoseReplyChance = value.get<double>();
  else if (name == "garbage")
    faults.Garbage = value.get<bool>();
  else if (name == "break_after_events")
    faults.BreakAfterEvents = value.get<unsigned>();
  else if (name == "wrong_id")
    faults.WrongId = value.get<bool>();
  else if (name == "duplicate")
    faults.Duplicate = value.get<bool>();
  else if (name == "seed")
    faults.Seed = value.get<std::uint64_t>();
  else
    throw json::other_error::create(501, "unknown fault", nullptr);
}

} // namespace

std::optional<Faults> parseFaults(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  Faults faults;
  try {
    for (const auto &[name, value] : object.items())
      setFault(faults, name, value);
  } catch (const json::exception &) {
    return std::nullopt;
  }
  return faults;
}

std::string toJson(const Faults &faults) {
  return json{{"outage", toString(faults.Down)},
              {"delay_ms", faults.Delay.count()},
              {"slow_factor", faults.SlowFactor},
              {"status", faults.Status},
              {"lose_replies", faults.LoseReplies},
              {"lose_reply_chance", faults.LoseReplyChance},
              {"garbage", faults.Garbage},
              {"break_after_events", faults.BreakAfterEvents},
              {"wrong_id", faults.WrongId},
              {"duplicate", faults.Duplicate},
              {"seed", faults.Seed}}
      .dump();
}

} // namespace cowslipridge::standins
