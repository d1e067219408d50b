#include "cowslipridge/entry/AnswerWriter.hpp"

namespace cowslipridge::entry {

namespace {

constexpr int StatusOk = 200;
constexpr std::int64_t MillisPerSecond = 1'000;

void addLabels(http::Headers &fields, const AnswerLabels &labels,
               core::Outcome outcome) {
  fields.push_back(
      {"Cowslipridge-Outcome", std::string(core::toString(outcome))});
  if (!labels.Request.empty())
    fields.push_back({"Cowslipridge-Request", labels.Request.str()});
  if (!labels.Version.empty())
    fields.push_back({"Cowslipridge-Version", labels.Version.str()});
  if (!labels.SessionToken.empty())
    fields.push_back({"Cowslipridge-Session", labels.SessionToken});
}

std::string toSeconds(core::Millis time) {
  return std::to_string((time.count() + MillisPerSecond - 1) / MillisPerSecond);
}

} // namespace

http::Response makeFailureResponse(const Failure &failure) {
  http::Problem problem;
  problem.Slug = core::slug(failure.Reason);
  problem.Title = core::make_error_code(failure.Reason).message();
  problem.Status = core::httpStatus(failure.Reason);
  problem.Detail = failure.Detail;
  http::Response response = http::makeProblem(problem);
  if (failure.RetryAfter > core::Millis(0))
    response.Fields.push_back({"Retry-After", toSeconds(failure.RetryAfter)});
  return response;
}

void AnswerWriter::respond(int status, http::Headers fields, std::string body,
                           const AnswerLabels &labels) {
  Started = true;
  addLabels(fields, labels, core::Outcome::Ran);
  Responder->respond({status, std::move(fields), std::move(body)});
}

void AnswerWriter::streamEvent(const std::string &data,
                               const AnswerLabels &labels) {
  if (!Started) {
    Started = true;
    http::Headers fields = {{"Content-Type", "text/event-stream"},
                            {"Cache-Control", "no-cache"}};
    addLabels(fields, labels, core::Outcome::Ran);
    Responder->start(StatusOk, std::move(fields));
  }
  Responder->write("data: " + data + "\n\n");
}

void AnswerWriter::finishStream() {
  Responder->write("data: [DONE]\n\n");
  Responder->finish();
}

void AnswerWriter::fail(const Failure &failure, const AnswerLabels &labels) {
  http::Response response = makeFailureResponse(failure);
  if (Started) {
    Responder->write("event: error\ndata: " + response.Body + "\n\n");
    Responder->abort();
    return;
  }
  Started = true;
  addLabels(response.Fields, labels, failure.Result);
  Responder->respond(std::move(response));
}

} // namespace cowslipridge::entry
