#include "Fleet.hpp"

#include "cowslipridge/core/Error.hpp"
#include "cowslipridge/http/Client.hpp"

#include <future>
#include <iostream>
#include <memory>

namespace cowslipridge::ctl {

namespace {

constexpr core::Millis AnswerTimeout{5'000};
constexpr int StatusOk = 200;

using Answer = core::Result<http::Response>;

/// A request in flight. The client must outlive the reply.
struct PendingRequest {
  std::unique_ptr<http::Client> Client;
  std::future<Answer> Reply;
};

PendingRequest sendRequest(const backing::InstanceRecord &instance,
                           const std::string &target,
                           const std::string &adminKey) {
  const std::string base =
      "http://" + instance.Address + ":" + std::to_string(instance.HttpPort);
  auto client = std::make_unique<http::Client>(base, AnswerTimeout);
  const auto promise = std::make_shared<std::promise<Answer>>();
  http::Request request;
  request.Method = "GET";
  request.Target = target;
  request.Fields.push_back({"Authorization", "Bearer " + adminKey});
  client->fetchAsync(std::move(request), [promise](Answer answer) {
    promise->set_value(std::move(answer));
  });
  return {std::move(client), promise->get_future()};
}

} // namespace

std::vector<InstanceAnswer>
queryInstances(const std::vector<backing::InstanceRecord> &instances,
               const std::string &target, const std::string &adminKey) {
  std::vector<PendingRequest> pending;
  pending.reserve(instances.size());
  for (const backing::InstanceRecord &it : instances)
    pending.push_back(sendRequest(it, target, adminKey));
  std::vector<InstanceAnswer> answers;
  answers.reserve(instances.size());
  for (std::size_t n = 0; n < instances.size(); ++n)
    answers.push_back({instances[n], pending[n].Reply.get()});
  return answers;
}

bool printFailedInstances(const std::vector<InstanceAnswer> &answers) {
  bool all = true;
  for (const InstanceAnswer &it : answers) {
    if (it.Answer.ok() && it.Answer->Status == StatusOk)
      continue;
    all = false;
    std::cerr << "cowslipctl: " << it.Instance.Name.str() << ": ";
    if (it.Answer.ok())
      std::cerr << "status " << it.Answer->Status << "\n";
    else
      std::cerr << it.Answer.error().message() << "\n";
  }
  return all;
}

} // namespace cowslipridge::ctl
