#include "cowslipridge/config/BundleReader.hpp"
#include "cowslipridge/config/ContentHash.hpp"
#include "cowslipridge/config/Publisher.hpp"
#include "cowslipridge/core/Random.hpp"
#include "cowslipridge/core/Visit.hpp"
#include "support/FaultyStore.hpp"
#include "support/PropertyChecks.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <set>

using namespace cowslipridge;
using namespace cowslipridge::config;
using support::StoreFault;

namespace {

constexpr int GeneratedSequences = 10'000;
constexpr int Operators = 4;
constexpr std::size_t MaxNesting = 2;

const std::vector<std::string> ServiceNames = {"drafting", "desk", "fitting"};

ServiceDeclaration makeService(const std::string &name, std::uint64_t mark) {
  ServiceDeclaration service;
  service.Name = core::ServiceId(name);
  service.Deadline = core::Millis(static_cast<std::int64_t>(mark));
  service.Versions.push_back({.Name = core::VersionId("v@1"),
                              .State = VersionState::Active,
                              .EngineModel = "v",
                              .CostPerThousandTokens = 0,
                              .ExpectedQuality = 0.5});
  return service;
}

/// Generated sequence of concurrent publications with crashes and lost replies.
class ConcurrentPublications {
public:
  explicit ConcurrentPublications(std::uint64_t seed) : Random(seed) {
    Store.NextFault = [this] { return nextFault(); };
    Store.OnChange = [this] { checkStore(); };
  }

  void run() {
    for (int n = 0; n < Operators; ++n)
      publishOne();
    FaultsDisabled = true;
    publishOne();
    RC_ASSERT(LastSucceeded);
    checkStore();
  }

private:
  std::size_t roll(std::size_t sides) {
    return core::uniformIndex(Random, sides);
  }

  StoreFault nextFault() {
    if (FaultsDisabled) {
      Bases.emplace(Active.back(), Last.Number);
      return StoreFault::None;
    }
    // Another operator publishes between two store calls of this one.
    if (Active.size() <= MaxNesting && roll(8) == 0)
      publishOne();
    const StoreFault fault = rollFault();
    // The publication is based on the first read that succeeds.
    if (fault == StoreFault::None)
      Bases.emplace(Active.back(), Last.Number);
    return fault;
  }

  StoreFault rollFault() {
    switch (roll(24)) {
    case 0:
      return StoreFault::Unavailable;
    case 1:
      return StoreFault::RequestLost;
    case 2:
      return StoreFault::ReplyLost;
    case 3:
      return StoreFault::Crash;
    case 4:
      return StoreFault::CrashAfter;
    default:
      return StoreFault::None;
    }
  }

  Publication nextPublication() {
    Publication publication;
    publication.Id = "p" + std::to_string(++Published);
    publication.Publisher = publication.Id;
    std::set<std::string> touched;
    for (std::size_t n = 0; n <= roll(2); ++n)
      touched.insert(ServiceNames[roll(ServiceNames.size())]);
    for (const std::string &it : touched) {
      if (!FaultsDisabled && roll(6) == 0)
        publication.Removed.emplace_back(it);
      else
        publication.Services.push_back(makeService(it, ++Mark));
    }
    return publication;
  }

  void publishOne() {
    const Publication publication = nextPublication();
    Active.push_back(publication.Id);
    LastSucceeded = false;
    try {
      check(publication, Publisher(Store).publish(publication));
    } catch (const support::CallerCrashed &) {
      // Either configuration may be in force; checkStore() has checked the
      // store after each change.
    }
    Active.pop_back();
  }

  void check(const Publication &publication, const PublishResult &result) {
    const bool everInForce = Seen.contains(publication.Id);
    std::visit(core::Overloaded{
                   [&](const config::Published &x) {
                     LastSucceeded = true;
                     RC_ASSERT(everInForce);
                     RC_ASSERT(Seen[publication.Id] == x.Number);
                   },
                   [&](const AlreadyInForce &) { LastSucceeded = true; },
                   [&](const PublishConflict &x) {
                     RC_ASSERT(!everInForce || x.MayHaveBeenInForce);
                     RC_ASSERT(x.Publisher != publication.Publisher);
                   },
                   [&](const PublishRefused &) { RC_ASSERT(!everInForce); },
                   [&](const PublishFailed &x) {
                     RC_ASSERT(!everInForce || x.MayBeInForce);
                   }},
               result);
  }

  /// Checks after each change of the store that a complete configuration is in
  /// force, that its generation never decreases and that each generation
  /// contains the changes of a single publication.
  void checkStore() {
    const auto manifest = Store.entries().find(std::string(ManifestKey));
    if (manifest == Store.entries().end())
      return;
    const auto index = decodeManifest(manifest->second.Value);
    RC_ASSERT(index.ok());
    RC_ASSERT(!(index->Number < Last.Number));
    for (const auto &[name, entry] : index->Services) {
      if (entry.Content.empty())
        continue;
      const auto content = Store.entries().find(contentKey(entry.Content));
      RC_ASSERT(content != Store.entries().end());
      RC_ASSERT(contentHash(content->second.Value) == entry.Content);
    }
    if (index->Number == Last.Number) {
      RC_ASSERT(*index == Last);
      return;
    }
    RC_ASSERT(index->Number == Last.Number.next());
    checkOnePublication(*index);
    Last = *index;
  }

  void checkOnePublication(const Manifest &next) {
    std::set<std::string> changedBy;
    for (const auto &[name, entry] : next.Services) {
      const auto before = Last.Services.find(name);
      if (before != Last.Services.end() && before->second == entry)
        continue;
      changedBy.insert(entry.Publication);
      // No publication replaces a change made after its base.
      if (before != Last.Services.end())
        RC_ASSERT(before->second.ChangedAt <= Bases[entry.Publication]);
    }
    RC_ASSERT(changedBy.size() == 1U);
    RC_ASSERT(Seen.emplace(*changedBy.begin(), next.Number).second);
  }

  core::Random Random;
  support::FaultyStore Store;
  Manifest Last;
  std::map<std::string, core::Generation> Seen; ///< by publication
  /// The generation that each publication read first.
  std::map<std::string, core::Generation> Bases;
  std::vector<std::string> Active; ///< publications in progress, innermost last
  std::uint64_t Published = 0;
  std::uint64_t Mark = 0;
  bool FaultsDisabled = false;
  bool LastSucceeded = false;
};

TEST(PublisherProperties, oneCompleteConfigurationIsAlwaysInForce) {
  support::expectHolds(GeneratedSequences, [] {
    ConcurrentPublications(*rc::gen::arbitrary<std::uint64_t>()).run();
  });
}

} // namespace
