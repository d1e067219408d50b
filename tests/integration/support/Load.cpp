#include "Load.hpp"

#include "standins/CompletionAnswer.hpp"

#include <chrono>
#include <utility>

namespace cowslipridge::integration {

namespace {

constexpr std::chrono::milliseconds ProbePeriod{100};
constexpr core::Millis ProbeTimeout{1'000};
/// Limit of tries per call: like a load balancer, a caller tries another
/// backend when one refuses the connection.
constexpr int MaxAttempts = 20;

} // namespace

Balancer::Balancer(std::vector<std::string> bases) {
  for (std::string &base : bases) {
    auto it = std::make_unique<Backend>();
    it->Probe = std::make_unique<Caller>(base, "", ProbeTimeout);
    it->Base = std::move(base);
    Backends.push_back(std::move(it));
  }
  Worker = std::thread([this] { run(); });
}

Balancer::~Balancer() {
  Stopping = true;
  Worker.join();
}

void Balancer::run() {
  while (!Stopping) {
    for (const auto &it : Backends)
      it->Ready = it->Probe->get("/readyz").status() == 200;
    std::this_thread::sleep_for(ProbePeriod);
  }
}

std::optional<std::string> Balancer::next() {
  for (std::size_t i = 0; i < Backends.size(); ++i) {
    const Backend &it = *Backends[NextIndex++ % Backends.size()];
    if (it.Ready)
      return it.Base;
  }
  return std::nullopt;
}

Load::Load(Balancer &balancer, std::size_t callers, ChatOptions options,
           std::string key)
    : Entries(balancer), Options(std::move(options)), Key(std::move(key)) {
  for (std::size_t i = 0; i < callers; ++i)
    Workers.emplace_back([this] { run(); });
}

Load::~Load() { stop(); }

void Load::stop() {
  Stopping = true;
  for (std::thread &it : Workers)
    if (it.joinable())
      it.join();
}

std::vector<LoadFailure> Load::failures() const {
  const std::lock_guard lock(Mutex);
  return Failures;
}

void Load::run() {
  while (!Stopping)
    callOnce();
}

void Load::callOnce() {
  LoadFailure last;
  for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
    const auto base = Entries.next();
    if (!base) {
      std::this_thread::sleep_for(ProbePeriod);
      continue;
    }
    last = {*base, Caller(*base, Key).call(makeChat(Options))};
    if (last.Result.Error && last.Result.Stage == http::SendStage::NotConnected)
      continue;
    if (isCompleteAnswer(last.Result, Options.MaxTokens)) {
      ++Answered;
      return;
    }
    break;
  }
  const std::lock_guard lock(Mutex);
  Failures.push_back(std::move(last));
}

bool isCompleteAnswer(const CallResult &result, int tokens) {
  if (result.status() != 200)
    return false;
  const std::string text = answerTextOf(result);
  const std::string request = result.header("Cowslipridge-Request");
  const bool small = text.find("by small]") != std::string::npos;
  return text == standins::answerText({request, small ? "small" : "large"},
                                      static_cast<std::size_t>(tokens));
}

} // namespace cowslipridge::integration
