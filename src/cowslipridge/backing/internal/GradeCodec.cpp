#include "cowslipridge/backing/internal/GradeCodec.hpp"

#include "cowslipridge/core/Error.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace cowslipridge::backing::internal {

namespace {

using nlohmann::json;

bool isGradeEvent(const json &event) {
  return event.is_object() &&
         event.value("type", json()) == json("cowslipridge.grade");
}

std::optional<Grade> parseGrade(const json &event) {
  const json subject = event.value("subject", json());
  const json data = event.value("data", json());
  if (!subject.is_string() || !data.is_object())
    return std::nullopt;
  const json score = data.value("score", json());
  if (!score.is_number())
    return std::nullopt;
  const auto value = score.get<double>();
  if (!(value >= 0 && value <= 1))
    return std::nullopt;
  return Grade{core::RequestId(subject.get<std::string>()), value};
}

} // namespace

core::Result<std::vector<Grade>> parseGrades(std::string_view body) {
  const json events = json::parse(body, nullptr, false);
  if (!events.is_array())
    return core::Errc::Malformed;
  std::vector<Grade> grades;
  for (const json &event : events) {
    if (!isGradeEvent(event))
      continue;
    if (auto grade = parseGrade(event))
      grades.push_back(std::move(*grade));
  }
  return grades;
}

} // namespace cowslipridge::backing::internal
