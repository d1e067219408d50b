#include "standins/RatingService.hpp"

#include "standins/RequestParts.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cowslipridge::standins {

namespace {

using nlohmann::json;

} // namespace

RatingService::RatingService(RatingSettings settings,
                             std::shared_ptr<Scheduler> timer)
    : Settings(settings), Timer(std::move(timer)), Random(settings.Seed) {}

void RatingService::serve(http::Request request,
                          std::shared_ptr<http::Responder> responder) {
  const std::string path = request.path();
  const std::lock_guard lock(Guard);
  if (path == "/submissions" && request.Method == "POST") {
    responder->respond(submit(request.Body));
  } else if (path == "/grades" && request.Method == "GET") {
    const std::string query = request.query();
    const auto subject = http::findQueryParameter(query, "subject");
    responder->respond(
        list(subject.value_or(""), findNumber(query, "after").value_or(0)));
  } else {
    responder->respond(http::makeJson(404, "\"no such page\""));
  }
}

http::Response RatingService::submit(const std::string &body) {
  const json submission = json::parse(body, nullptr, false);
  Grade grade;
  std::string subject;
  try {
    subject = submission.at("subject").get<std::string>();
    grade.Request = submission.at("request").get<std::string>();
    grade.Score = submission.at("score").get<double>();
  } catch (const json::exception &) {
    return http::makeProblem(
        {"malformed", "Grade needs a subject, a request and a score", 400, ""});
  }
  ++Submitted;
  if (core::uniform(Random) < Settings.MissingShare) {
    ++Omitted;
    return {};
  }
  Timer->after(Settings.Delay, [self = weak_from_this(), subject, grade] {
    if (const auto it = self.lock())
      it->publish(subject, grade);
  });
  return {};
}

void RatingService::publish(const std::string &subject, Grade grade) {
  const std::lock_guard lock(Guard);
  grade.Cursor = ++LastCursor;
  Published[subject].push_back(std::move(grade));
}

http::Response RatingService::list(const std::string &subject,
                                   std::uint64_t after) const {
  json events = json::array();
  std::uint64_t cursor = after;
  const auto it = Published.find(subject);
  if (it != Published.end()) {
    for (const Grade &grade : it->second) {
      if (grade.Cursor <= after)
        continue;
      cursor = std::max(cursor, grade.Cursor);
      events.push_back({{"specversion", "1.0"},
                        {"id", std::to_string(grade.Cursor)},
                        {"source", "/ratings/" + subject},
                        {"type", "cowslipridge.grade"},
                        {"subject", grade.Request},
                        {"data", {{"score", grade.Score}}}});
    }
  }
  http::Response response;
  response.Fields = {{"Content-Type", "application/cloudevents-batch+json"},
                     {"Grades-Cursor", std::to_string(cursor)}};
  response.Body = events.dump();
  return response;
}

std::optional<http::Response>
RatingService::debug(const http::Request &request) {
  if (request.path() != "/debug/grades")
    return std::nullopt;
  const std::lock_guard lock(Guard);
  const json counts = {{"submitted", Submitted},
                       {"published", LastCursor},
                       {"left_out", Omitted}};
  return http::makeJson(200, counts.dump());
}

} // namespace cowslipridge::standins
