#include "cowslipridge/ledger/BillReader.hpp"

#include "cowslipridge/ledger/BillMerge.hpp"

namespace cowslipridge::ledger {

void readBills(backing::Store &store, const core::ServiceId &service,
               std::function<void(core::Result<BillReport>)> done) {
  using Entries = std::vector<backing::StoreEntry>;
  store.list(journalPrefix(service), [service, done = std::move(done)](
                                         const core::Result<Entries> &entries) {
    if (!entries) {
      done(entries.error());
      return;
    }
    BillMerge merge(service);
    for (const backing::StoreEntry &it : *entries)
      merge.add(it);
    done(merge.report());
  });
}

} // namespace cowslipridge::ledger
