#include "cowslipridge/sidecar/Billing.hpp"

#include <cmath>

namespace cowslipridge::sidecar {

std::uint64_t costMicro(const config::VersionDeclaration &version,
                        const runner::Usage &usage) {
  constexpr double MicroPerUnit = 1e6;
  constexpr double TokensPerPriceUnit = 1'000;
  const auto tokens =
      static_cast<double>(usage.PromptTokens + usage.AnswerTokens);
  const double cost = tokens / TokensPerPriceUnit *
                      version.CostPerThousandTokens * MicroPerUnit;
  return static_cast<std::uint64_t>(std::llround(cost));
}

ledger::Bill makeBill(const rpc::RunRequest &request,
                      const config::VersionDeclaration &version,
                      core::Outcome outcome, const runner::Usage &usage,
                      core::Millis wallTime) {
  ledger::BillPart part;
  part.Version = version.Name;
  part.Part = request.Part;
  part.Result = outcome;
  part.PromptTokens = usage.PromptTokens;
  part.AnswerTokens = usage.AnswerTokens;
  part.CostMicro = costMicro(version, usage);
  ledger::Bill bill;
  bill.Request = request.Request;
  bill.Organisation = request.Organisation;
  bill.Service = request.Service;
  bill.Result = outcome;
  bill.Parts = {part};
  bill.At = wallTime;
  return bill;
}

} // namespace cowslipridge::sidecar
