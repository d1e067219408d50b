#include "HostFixture.hpp"

#include "cowslipridge/backing/CloudEventsRatings.hpp"
#include "cowslipridge/backing/ConsulInstanceList.hpp"
#include "cowslipridge/backing/WeightStore.hpp"
#include "cowslipridge/core/Error.hpp"
#include "standins/InstanceRegistry.hpp"
#include "standins/RatingService.hpp"
#include "standins/WeightServer.hpp"

using namespace cowslipridge;
using namespace cowslipridge::backing;
using namespace cowslipridge::standins;

namespace {

using Records = core::Result<std::vector<InstanceRecord>>;

InstanceRecord makeSidecar(const std::string &name) {
  InstanceRecord record;
  record.Name = core::InstanceId(name);
  record.Kind = Role::Sidecar;
  record.Domain = core::FailureDomainId("kochi-a");
  record.Start = core::Incarnation(18'446'744'073'709'551'615U);
  record.Address = "127.0.0.1";
  record.RpcPort = 9080;
  record.HttpPort = 8080;
  record.Service = core::ServiceId("drafting");
  record.Versions = {core::VersionId("small@3"), core::VersionId("a,b \"c\"")};
  record.Leaving = true;
  return record;
}

class InstanceListTest : public HostFixture {
protected:
  std::error_code publish(const InstanceRecord &record) {
    return await<std::error_code>(
        [&](auto done) { Port->publish(record, done); });
  }

  Records fetch() {
    return await<Records>([&](auto done) { Port->fetch(done); });
  }

  std::string Base =
      host(std::make_shared<InstanceRegistry>(core::Millis(0), Timer));
  std::shared_ptr<InstanceList> Port =
      makeConsulInstanceList(Base, core::Millis(500));
};

TEST_F(InstanceListTest, fetchesCompletePublishedRecords) {
  const auto record = makeSidecar("side-1");
  EXPECT_FALSE(publish(record));
  const auto records = fetch();
  ASSERT_TRUE(records);
  ASSERT_EQ(records->size(), 1U);
  EXPECT_EQ(records->front(), record);
}

TEST_F(InstanceListTest, replacesAndWithdrawsRecords) {
  publish(makeSidecar("side-1"));
  publish(makeSidecar("side/2"));
  InstanceRecord entry = makeSidecar("side-1");
  entry.Kind = Role::Entry;
  entry.Versions.clear();
  publish(entry);
  EXPECT_EQ(fetch()->size(), 2U);
  EXPECT_EQ(fetch()->front(), entry);
  EXPECT_FALSE(await<std::error_code>(
      [&](auto done) { Port->withdraw(core::InstanceId("side/2"), done); }));
  EXPECT_EQ(fetch()->size(), 1U);
}

TEST_F(InstanceListTest, showsChangesOnlyAfterConfiguredLag) {
  publish(makeSidecar("side-1"));
  fetch();
  call(Base, {"PUT", "/debug/lag", {}, R"({"ms":600000})"});
  publish(makeSidecar("side-2"));
  EXPECT_EQ(fetch()->size(), 1U);
  EXPECT_EQ(page(Base, "/debug/instances").size(), 2U);
  call(Base, {"PUT", "/debug/lag", {}, R"({"ms":0})"});
  EXPECT_EQ(fetch()->size(), 2U);
}

TEST_F(InstanceListTest, skipsMalformedRegistrations) {
  publish(makeSidecar("side-1"));
  call(Base, {"PUT",
              "/v1/agent/service/register",
              {},
              R"({"Name":"cowslipridge","ID":"odd","Port":-1,"Meta":[]})"});
  EXPECT_EQ(fetch()->size(), 1U);
}

TEST_F(InstanceListTest, reportsOutagesAndMalformedResponses) {
  setFaults(Base, {{"outage", "refuse"}});
  EXPECT_EQ(fetch().error(), core::Errc::StoreUnavailable);
  EXPECT_EQ(publish(makeSidecar("side-1")), core::Errc::StoreUnavailable);
  setFaults(Base, {{"garbage", true}});
  EXPECT_EQ(fetch().error(), core::Errc::Malformed);
}

class RatingsTest : public HostFixture {
protected:
  void open(const RatingSettings &settings) {
    Base = host(std::make_shared<RatingService>(settings, Timer));
    Port = makeCloudEventsRatings(Base, core::Millis(500));
  }

  void submit(const std::string &subject, const std::string &request,
              double score) {
    const nlohmann::json body = {
        {"subject", subject}, {"request", request}, {"score", score}};
    call(Base, {"POST", "/submissions", {}, body.dump()});
  }

  core::Result<GradePage> fetch(const std::string &subject,
                                std::uint64_t cursor) {
    return await<core::Result<GradePage>>(
        [&](auto done) { Port->fetch(core::RunnerId(subject), cursor, done); });
  }

  std::string Base;
  std::shared_ptr<Ratings> Port;
};

TEST_F(RatingsTest, fetchesOnlyGradesAfterCursor) {
  open({});
  submit("run/1", "r1", 0.25);
  submit("run/2", "r2", 1);
  ASSERT_TRUE(support::eventually(
      [&] { return page(Base, "/debug/grades")["published"] == 2; }));
  const auto first = fetch("run/1", 0);
  ASSERT_TRUE(first);
  ASSERT_EQ(first->Grades.size(), 1U);
  EXPECT_EQ(first->Grades[0], (Grade{core::RequestId("r1"), 0.25}));
  const auto second = fetch("run/1", first->Cursor);
  ASSERT_TRUE(second);
  EXPECT_TRUE(second->Grades.empty());
  EXPECT_EQ(second->Cursor, first->Cursor);
}

TEST_F(RatingsTest, dropsConfiguredShareOfGrades) {
  RatingSettings settings;
  settings.MissingShare = 0.5;
  open(settings);
  for (int i = 0; i < 100; ++i)
    submit("run", std::to_string(i), 0.5);
  const auto counts = page(Base, "/debug/grades");
  EXPECT_EQ(counts["submitted"], 100);
  EXPECT_GT(counts["left_out"], 30);
  EXPECT_LT(counts["left_out"], 70);
}

TEST_F(RatingsTest, reportsOutagesAndMalformedResponses) {
  open({});
  setFaults(Base, {{"status", 500}});
  EXPECT_EQ(fetch("run", 0).error(), core::Errc::StoreUnavailable);
  setFaults(Base, {{"garbage", true}});
  EXPECT_EQ(fetch("run", 0).error(), core::Errc::Malformed);
}

class WeightStoreTest : public HostFixture {
protected:
  core::Result<WeightAnswer> fetch(const std::string &version) {
    return await<core::Result<WeightAnswer>>(
        [&](auto done) { Port->fetch(core::VersionId(version), done); });
  }

  std::string Base =
      host(std::make_shared<WeightServer>(WeightSettings{1, {}}, Timer));
  std::shared_ptr<WeightStore> Port =
      makeWeightStoreClient(Base, core::Millis(500));
};

TEST_F(WeightStoreTest, reportsDelayWhenRateLimited) {
  const auto first = fetch("small@3");
  ASSERT_TRUE(first);
  ASSERT_TRUE(std::holds_alternative<WeightSet>(*first));
  EXPECT_EQ(std::get<WeightSet>(*first).Version, core::VersionId("small@3"));
  const auto second = fetch("small@3");
  ASSERT_TRUE(second);
  ASSERT_TRUE(std::holds_alternative<WeightsBusy>(*second));
  const auto delay = std::get<WeightsBusy>(*second).Delay;
  EXPECT_GT(delay, core::Millis(50'000));
  EXPECT_LE(delay, core::Millis(60'000));
  EXPECT_EQ(page(Base, "/debug/loads")["loads"]["small@3"], 1);
}

TEST_F(WeightStoreTest, reportsOutages) {
  setFaults(Base, {{"status", 404}});
  EXPECT_EQ(fetch("small@3").error(), core::Errc::UnknownVersion);
  setFaults(Base, {{"outage", "refuse"}});
  EXPECT_EQ(fetch("small@3").error(), core::Errc::StoreUnavailable);
}

} // namespace
