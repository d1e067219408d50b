#include "Commands.hpp"
#include "Platform.hpp"

#include "cowslipridge/ledger/BillReader.hpp"

#include <gflags/gflags.h>

#include <future>
#include <iomanip>
#include <iostream>
#include <map>

DEFINE_string(service, "", "name of the service whose bills are printed");
DEFINE_bool(unsettled, false, "print only requests whose outcome is unknown");

namespace cowslipridge::ctl {

namespace {

constexpr std::uint64_t MicrosPerUnit = 1'000'000;
constexpr int MicroDigits = 6;

using Report = core::Result<ledger::BillReport>;

Report readReport(backing::Store &store, const core::ServiceId &service) {
  const auto promise = std::make_shared<std::promise<Report>>();
  ledger::readBills(store, service, [promise](Report report) {
    promise->set_value(std::move(report));
  });
  return promise->get_future().get();
}

std::uint64_t costOf(const ledger::Bill &bill) {
  std::uint64_t micros = 0;
  for (const ledger::BillPart &it : bill.Parts)
    micros += it.CostMicro;
  return micros;
}

void printCost(std::uint64_t micros) {
  std::cout << micros / MicrosPerUnit << "." << std::setfill('0')
            << std::setw(MicroDigits) << micros % MicrosPerUnit;
}

void printBill(const ledger::Bill &bill) {
  std::cout << bill.Request.str() << " " << bill.Organisation.str() << " "
            << core::toString(bill.Result) << " ";
  printCost(costOf(bill));
  for (const ledger::BillPart &it : bill.Parts)
    std::cout << " " << it.Part << ":" << it.Version.str() << ":"
              << core::toString(it.Result) << ":" << it.PromptTokens << "+"
              << it.AnswerTokens;
  std::cout << "\n";
}

void printTotals(const std::map<core::RequestId, ledger::Bill> &bills) {
  std::map<core::OrganisationId, std::uint64_t> costs;
  std::map<core::OrganisationId, std::size_t> counts;
  for (const auto &[request, bill] : bills) {
    costs[bill.Organisation] += costOf(bill);
    ++counts[bill.Organisation];
  }
  for (const auto &[organisation, micros] : costs) {
    std::cout << "total " << organisation.str() << " " << counts[organisation]
              << " requests ";
    printCost(micros);
    std::cout << "\n";
  }
}

void printReport(const ledger::BillReport &report) {
  if (FLAGS_unsettled) {
    for (const ledger::Bill &it : report.Unsettled)
      printBill(it);
    return;
  }
  for (const auto &[request, bill] : report.Bills)
    printBill(bill);
  printTotals(report.Bills);
}

} // namespace

ExitCode bill(const Arguments &arguments) {
  if (!arguments.empty())
    return failUsage("bill takes no arguments");
  if (FLAGS_service.empty())
    return failUsage("bill needs --service NAME");
  const auto store = openStore();
  if (!store)
    return ExitCode::Usage;
  const Report report = readReport(*store, core::ServiceId(FLAGS_service));
  if (!report.ok()) {
    std::cerr << "cowslipctl: " << report.error().message() << "\n";
    return ExitCode::Unreachable;
  }
  printReport(*report);
  for (const std::string &it : report->DamagedKeys)
    std::cerr << "cowslipctl: " << it << " is corrupt; its bills are omitted\n";
  return report->DamagedKeys.empty() ? ExitCode::Success : ExitCode::Findings;
}

} // namespace cowslipridge::ctl
