#include "cowslipridge/config/Publisher.hpp"
#include "cowslipridge/config/BundleReader.hpp"
#include "cowslipridge/config/DeclarationParser.hpp"
#include "support/FaultyStore.hpp"
#include "support/SampleDeclarations.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace cowslipridge;
using namespace cowslipridge::config;
using support::StoreFault;

namespace {

ServiceDeclaration parse(std::string_view text) {
  core::Findings findings;
  return *parseDeclaration(text, "x.ini", findings);
}

const ServiceDeclaration Drafting = parse(support::DraftingText);
const ServiceDeclaration Desk = parse(support::DeskText);

ServiceDeclaration withDeadline(ServiceDeclaration service, int seconds) {
  service.Deadline = core::Millis(seconds * 1'000L);
  service.MaxWait = core::Millis(0);
  return service;
}

Publication publicationOf(const std::string &publisher,
                          std::vector<ServiceDeclaration> services) {
  return {publisher + "-id", publisher, std::move(services), {}, {}};
}

class PublisherTest : public testing::Test {
protected:
  PublishResult publish(const Publication &publication) {
    return Publisher(Store).publish(publication);
  }
  StoredBundle inForce() { return *readStoredBundle(Store); }

  support::FaultyStore Store;
};

TEST_F(PublisherTest, putsServicesInForceTogether) {
  const auto result = publish(publicationOf("asha", {Drafting, Desk}));
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  EXPECT_EQ(std::get<Published>(result).Number, core::Generation(1));
  EXPECT_EQ(inForce().Services.Services.size(), 2U);
  EXPECT_EQ(*inForce().Services.findService(Desk.Name), Desk);
}

TEST_F(PublisherTest, retriesAFailedRead) {
  int calls = 0;
  Store.NextFault = [&] {
    return ++calls == 1 ? StoreFault::Unavailable : StoreFault::None;
  };
  const auto result = publish(publicationOf("asha", {Drafting}));
  EXPECT_TRUE(std::holds_alternative<Published>(result));
}

TEST_F(PublisherTest, publishingUnchangedServicesChangesNothing) {
  publish(publicationOf("asha", {Drafting}));
  const auto result = publish(publicationOf("ravi", {Drafting}));
  ASSERT_TRUE(std::holds_alternative<AlreadyInForce>(result));
  EXPECT_EQ(inForce().Index.Number, core::Generation(1));
}

TEST_F(PublisherTest, concurrentChangesOfDifferentServicesMerge) {
  int calls = 0;
  Store.NextFault = [&] {
    // Ravi publishes just before Asha swaps the manifest.
    if (++calls == 3)
      publish(publicationOf("ravi", {Desk}));
    return StoreFault::None;
  };
  const auto result = publish(publicationOf("asha", {Drafting}));
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  EXPECT_EQ(std::get<Published>(result).Number, core::Generation(2));
  EXPECT_EQ(inForce().Services.Services.size(), 2U);
}

TEST_F(PublisherTest, concurrentChangeOfTheSameServiceIsAConflict) {
  int calls = 0;
  Store.NextFault = [&] {
    if (++calls == 3)
      publish(publicationOf("ravi", {withDeadline(Desk, 7)}));
    return StoreFault::None;
  };
  const auto result = publish(publicationOf("asha", {Desk}));
  ASSERT_TRUE(std::holds_alternative<PublishConflict>(result));
  const auto &conflict = std::get<PublishConflict>(result);
  EXPECT_EQ(conflict.Service, Desk.Name);
  EXPECT_EQ(conflict.Publisher, "ravi");
  EXPECT_EQ(conflict.ChangedAt, core::Generation(1));
  EXPECT_FALSE(conflict.MayHaveBeenInForce);
}

TEST_F(PublisherTest, changeAfterTheGivenBaseIsAConflict) {
  publish(publicationOf("asha", {Desk}));
  publish(publicationOf("ravi", {withDeadline(Desk, 7)}));
  Publication late = publicationOf("mini", {withDeadline(Desk, 9)});
  late.Base = core::Generation(1);
  const auto result = publish(late);
  ASSERT_TRUE(std::holds_alternative<PublishConflict>(result));
  EXPECT_EQ(std::get<PublishConflict>(result).Publisher, "ravi");
}

TEST_F(PublisherTest, lostSwapReplyIsResolvedByReadingTheManifest) {
  for (const StoreFault fault :
       {StoreFault::RequestLost, StoreFault::ReplyLost}) {
    support::FaultyStore store;
    int calls = 0;
    store.NextFault = [&] { return ++calls == 3 ? fault : StoreFault::None; };
    const auto result = Publisher(store).publish(publicationOf("asha", {Desk}));
    ASSERT_TRUE(std::holds_alternative<Published>(result));
    EXPECT_EQ(std::get<Published>(result).Number, core::Generation(1));
    EXPECT_EQ(readStoredBundle(store)->Index.Number, core::Generation(1));
  }
}

TEST_F(PublisherTest, outageBeforeTheSwapReportsNotInForce) {
  Store.NextFault = [] { return StoreFault::Unavailable; };
  const auto result = publish(publicationOf("asha", {Desk}));
  ASSERT_TRUE(std::holds_alternative<PublishFailed>(result));
  EXPECT_FALSE(std::get<PublishFailed>(result).MayBeInForce);
}

TEST_F(PublisherTest, inconsistentServicesAreRefused) {
  publish(publicationOf("asha", {Drafting}));
  ServiceDeclaration desk = Desk;
  desk.Organisations[0].Name = core::OrganisationId("kannur-bowls");
  const auto result = publish(publicationOf("ravi", {desk}));
  ASSERT_TRUE(std::holds_alternative<PublishRefused>(result));
  EXPECT_EQ(inForce().Index.Number, core::Generation(1));
}

TEST_F(PublisherTest, removedServiceCanBePublishedAgain) {
  publish(publicationOf("asha", {Drafting, Desk}));
  Publication removal = publicationOf("ravi", {});
  removal.Removed = {Desk.Name};
  ASSERT_TRUE(std::holds_alternative<Published>(publish(removal)));
  EXPECT_EQ(inForce().Services.Services.size(), 1U);
  Publication again = publicationOf("asha", {Desk});
  again.Id = "asha-id-2";
  ASSERT_TRUE(std::holds_alternative<Published>(publish(again)));
  EXPECT_EQ(inForce().Services.Services.size(), 2U);
}

TEST_F(PublisherTest, retiredContentsAreDeletedByTheNextPublisher) {
  for (int n = 1; n <= 20; ++n) {
    Publication next = publicationOf("asha", {withDeadline(Desk, n)});
    next.Id = "asha-" + std::to_string(n);
    ASSERT_TRUE(std::holds_alternative<Published>(publish(next)));
  }
  // The manifest, the content in force and the one that was just replaced.
  EXPECT_EQ(Store.entries().size(), 3U);
}

TEST_F(PublisherTest, lostManifestIsReplacedAboveTheGivenBase) {
  Publication publication = publicationOf("asha", {Desk});
  publication.Base = core::Generation(41);
  const auto result = publish(publication);
  ASSERT_TRUE(std::holds_alternative<Published>(result));
  EXPECT_EQ(std::get<Published>(result).Number, core::Generation(42));
}

TEST_F(PublisherTest, baseThatWasNeverPublishedIsRefused) {
  publish(publicationOf("asha", {Drafting}));
  Publication publication = publicationOf("ravi", {Desk});
  publication.Base = core::Generation(9);
  EXPECT_TRUE(std::holds_alternative<PublishRefused>(publish(publication)));
}

} // namespace
