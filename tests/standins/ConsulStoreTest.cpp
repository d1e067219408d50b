#include "HostFixture.hpp"

#include "cowslipridge/backing/ConsulStore.hpp"
#include "cowslipridge/core/Error.hpp"
#include "standins/KeyValueStore.hpp"

using namespace cowslipridge;
using namespace cowslipridge::backing;
using namespace cowslipridge::standins;

namespace {

using Entry = core::Result<std::optional<StoreEntry>>;
using Entries = core::Result<std::vector<StoreEntry>>;

class ConsulStoreTest : public HostFixture {
protected:
  void SetUp() override { open({}); }

  void open(const KeyValueSettings &settings) {
    Base = host(std::make_shared<KeyValueStore>(settings, Timer));
    // No test should fail because the machine is busy.
    setTimeout(core::Millis(10'000));
  }

  void setTimeout(core::Millis timeout) {
    StoreClient = makeConsulStore(Base, timeout);
  }

  SwapStatus swap(const std::string &key, const std::string &value,
                  Revision expected) {
    return await<SwapResult>([&](auto done) {
             StoreClient->compareAndSwap(key, value, expected, done);
           })
        .Status;
  }

  SwapStatus remove(const std::string &key, Revision expected) {
    return await<SwapResult>([&](auto done) {
             StoreClient->compareAndDelete(key, expected, done);
           })
        .Status;
  }

  Entry get(const std::string &key) {
    return await<Entry>([&](auto done) { StoreClient->get(key, done); });
  }

  Entries list(const std::string &prefix) {
    return await<Entries>([&](auto done) { StoreClient->list(prefix, done); });
  }

  std::string Base;
  std::shared_ptr<Store> StoreClient;
};

TEST_F(ConsulStoreTest, returnsArbitraryBytesUnchanged) {
  std::string value;
  for (int c = 0; c < 256; ++c)
    value += static_cast<char>(c);
  const std::string key = "a/b@1 %+&=?#\xc3\xa9/c";
  EXPECT_EQ(swap(key, value, 0), SwapStatus::Swapped);
  const auto entry = get(key);
  ASSERT_TRUE(entry && entry->has_value());
  EXPECT_EQ((**entry).Key, key);
  EXPECT_EQ((**entry).Value, value);
  EXPECT_GT((**entry).ModifiedAt, 0U);
}

TEST_F(ConsulStoreTest, absentKeysHaveNoEntry) {
  const auto entry = get("absent");
  ASSERT_TRUE(entry);
  EXPECT_FALSE(entry->has_value());
  const auto entries = list("absent");
  ASSERT_TRUE(entries);
  EXPECT_TRUE(entries->empty());
}

TEST_F(ConsulStoreTest, swapsOnlyTheExpectedRevision) {
  EXPECT_EQ(swap("k", "one", 0), SwapStatus::Swapped);
  EXPECT_EQ(swap("k", "two", 0), SwapStatus::Mismatch);
  const Revision now = (**get("k")).ModifiedAt;
  EXPECT_EQ(swap("k", "two", now + 1), SwapStatus::Mismatch);
  EXPECT_EQ(swap("k", "two", now), SwapStatus::Swapped);
  EXPECT_EQ((**get("k")).Value, "two");
}

TEST_F(ConsulStoreTest, deletesOnlyTheExpectedRevision) {
  swap("k", "one", 0);
  const Revision now = (**get("k")).ModifiedAt;
  EXPECT_EQ(remove("k", 0), SwapStatus::Mismatch);
  EXPECT_EQ(remove("k", now + 1), SwapStatus::Mismatch);
  EXPECT_EQ(remove("k", now), SwapStatus::Swapped);
  EXPECT_FALSE(get("k")->has_value());
}

TEST_F(ConsulStoreTest, listsInKeyOrder) {
  for (const char *key : {"p/c", "p/a", "q/x", "p/b"})
    swap(key, key, 0);
  const auto entries = list("p/");
  ASSERT_TRUE(entries);
  ASSERT_EQ(entries->size(), 3U);
  EXPECT_EQ((*entries)[0].Key, "p/a");
  EXPECT_EQ((*entries)[2].Value, "p/c");
}

TEST_F(ConsulStoreTest, storesAnEmptyValue) {
  EXPECT_EQ(swap("k", "", 0), SwapStatus::Swapped);
  const auto entry = get("k");
  ASSERT_TRUE(entry && entry->has_value());
  EXPECT_EQ((**entry).Value, "");
}

TEST_F(ConsulStoreTest, rejectsValuesAboveTheLimit) {
  const std::size_t limit = KeyValueSettings().MaxValueBytes;
  EXPECT_EQ(swap("k", std::string(limit + 1, 'x'), 0), SwapStatus::Unavailable);
  EXPECT_FALSE(get("k")->has_value());
  EXPECT_EQ(swap("k", std::string(limit, 'x'), 0), SwapStatus::Swapped);
}

TEST_F(ConsulStoreTest, watchReturnsOnAChangeOrAfterTheWait) {
  const auto watch = [&](std::uint64_t index, core::Millis wait, auto done) {
    StoreClient->watch("p/", index, wait, done);
  };
  using Watched = core::Result<WatchResult>;
  const auto first =
      await<Watched>([&](auto done) { watch(0, core::Millis(10'000), done); });
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->Entries.empty());
  support::EventualValue<Watched> changed;
  watch(first->Index, core::Millis(10'000),
        [&](Watched result) { changed.set(std::move(result)); });
  ASSERT_TRUE(support::eventually(
      [&] { return page(Base, "/debug/calls")["waiting"] == 1; }));
  swap("q/other", "x", 0);
  EXPECT_EQ(page(Base, "/debug/calls")["waiting"], 1);
  swap("p/a", "x", 0);
  const auto second = changed.get();
  ASSERT_TRUE(second && *second);
  ASSERT_EQ((*second)->Entries.size(), 1U);
  EXPECT_GT((*second)->Index, first->Index);
  const Revision now = (**get("p/a")).ModifiedAt;
  remove("p/a", now);
  const auto third = await<Watched>(
      [&](auto done) { watch((*second)->Index, core::Millis(10'000), done); });
  ASSERT_TRUE(third);
  EXPECT_TRUE(third->Entries.empty());
  const auto unchanged = await<Watched>(
      [&](auto done) { watch(third->Index, core::Millis(700), done); });
  ASSERT_TRUE(unchanged)
      << "a watch may wait longer than the timeout of other calls";
  EXPECT_EQ(unchanged->Index, third->Index);
}

TEST_F(ConsulStoreTest, reportsLostReplyWhenTheResponseIsLost) {
  setFaults(Base, {{"lose_replies", 1}});
  EXPECT_EQ(swap("k", "mine", 0), SwapStatus::LostReply);
  const auto entry = get("k");
  ASSERT_TRUE(entry && entry->has_value());
  EXPECT_EQ((**entry).Value, "mine");
}

TEST_F(ConsulStoreTest, reportsLostReplyWhenTheWriteOutcomeIsUnknown) {
  setFaults(Base, {{"garbage", true}});
  EXPECT_EQ(swap("a", "x", 0), SwapStatus::LostReply);
  setFaults(Base, {{"status", 500}});
  EXPECT_EQ(swap("b", "x", 0), SwapStatus::LostReply);
  setTimeout(core::Millis(500));
  setFaults(Base, {{"outage", "hang"}});
  EXPECT_EQ(swap("c", "x", 0), SwapStatus::LostReply);
}

TEST_F(ConsulStoreTest, reportsOutagesAsUnavailable) {
  setFaults(Base, {{"outage", "refuse"}});
  EXPECT_EQ(get("k").error(), core::Errc::StoreUnavailable);
  setTimeout(core::Millis(500));
  setFaults(Base, {{"outage", "hang"}});
  EXPECT_EQ(list("k").error(), core::Errc::StoreUnavailable);
  Hosts.clear();
  EXPECT_EQ(swap("k", "x", 0), SwapStatus::Unavailable);
  EXPECT_EQ(get("k").error(), core::Errc::StoreUnavailable);
}

// A different server at the same address may return 404 for any key.
TEST_F(ConsulStoreTest, notFoundWithoutAnIndexIsMalformed) {
  setFaults(Base, {{"status", 404}});
  EXPECT_EQ(get("k").error(), core::Errc::Malformed);
  EXPECT_EQ(list("k").error(), core::Errc::Malformed);
}

TEST_F(ConsulStoreTest, invalidResponsesAreMalformed) {
  swap("k", "x", 0);
  setFaults(Base, {{"garbage", true}});
  EXPECT_EQ(get("k").error(), core::Errc::Malformed);
  EXPECT_EQ(list("k").error(), core::Errc::Malformed);
}

TEST_F(ConsulStoreTest, rejectsCallsOverTheRateLimit) {
  KeyValueSettings settings;
  settings.WritesPerSecond = 1;
  open(settings);
  EXPECT_EQ(swap("a", "x", 0), SwapStatus::Swapped);
  EXPECT_EQ(swap("b", "x", 0), SwapStatus::Unavailable);
  EXPECT_FALSE(get("b")->has_value());
  EXPECT_EQ(page(Base, "/debug/calls")["refused"], 1);
}

TEST_F(ConsulStoreTest, countsAPendingWatchAsACall) {
  KeyValueSettings settings;
  settings.ReadsPerSecond = 1;
  open(settings);
  StoreClient->watch("p/", 1'000, core::Millis(10'000), [](const auto &) {});
  ASSERT_TRUE(support::eventually(
      [&] { return page(Base, "/debug/calls")["watches"] == 1; }));
  EXPECT_EQ(get("k").error(), core::Errc::StoreUnavailable);
}

TEST_F(ConsulStoreTest, sessionsExpireAndReleaseTheirLocks) {
  const auto session = nlohmann::json::parse(
      call(Base, {"PUT", "/v1/session/create", {}, R"({"TTL":"100ms"})"}).Body);
  const std::string id = session["ID"];
  const http::Request acquire = {"PUT", "/v1/kv/lock?acquire=" + id, {}, "a"};
  EXPECT_EQ(call(Base, acquire).Body, "true");
  EXPECT_EQ(call(Base, {"PUT", "/v1/kv/lock?acquire=none", {}, "b"}).Body,
            "false");
  EXPECT_TRUE(support::eventually(
      [&] { return !page(Base, "/v1/kv/lock")[0].contains("Session"); }));
  EXPECT_EQ(call(Base, acquire).Body, "false");
  EXPECT_EQ(call(Base, {"PUT", "/v1/session/renew/" + id, {}, ""}).Status, 404);
}

} // namespace
