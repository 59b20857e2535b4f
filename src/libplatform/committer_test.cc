#include "libplatform/committer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoist/config_head.h"
#include "camphorhoist/error.h"
#include "libplatform/budgeted_object_store.h"
#include "libplatform/platform_fixture.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};
constexpr int kSchema = 2;
const char kHeadPrefix[] = "config/head";
const char kPagePrefix[] = "config/page/";

Record Service(const std::string& name, int timeout_ms) {
  Findings findings;
  const std::string text = R"({"schema":1,"kind":"service","name":")" + name +
                           R"(","timeout_ms":)" + std::to_string(timeout_ms) + "}";
  const auto record = Record::Parse(text, "record", &findings);
  CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
  return *record;
}

ChangeSet Upsert(const std::string& id, const std::string& service, int timeout_ms = 100) {
  return ChangeSet{id, {Change::UnconditionalUpsert(Service(service, timeout_ms))}, false};
}

/// A committer of one node; several nodes can share the stand-in platform.
struct Node {
  explicit Node(TestPlatform* owner, CommitterLimits limits = ShortRetryLimits(),
                milliseconds timeout = kTimeout)
      : platform(owner),
        store(owner->NewStore(timeout)),
        committer(owner->base.get(), store.get(), limits) {}

  static CommitterLimits ShortRetryLimits() {
    CommitterLimits limits;
    limits.retry_delay = milliseconds(5);
    return limits;
  }

  void Start(ChangeSet change_set, const Snapshot::Ptr& base = Snapshot::Empty()) {
    committer.Commit(std::move(change_set), base, kSchema,
                     [this](const AcceptOutcome& outcome, const Snapshot::Ptr& snapshot) {
                       outcomes.push_back(outcome);
                       if (snapshot) newest = snapshot;
                     });
  }
  void WaitFor(size_t n) {
    RunUntil(platform->base.get(), [this, n] { return outcomes.size() >= n; });
  }
  AcceptOutcome Commit(ChangeSet change_set, const Snapshot::Ptr& base = Snapshot::Empty()) {
    const size_t n = outcomes.size() + 1;
    Start(std::move(change_set), base);
    WaitFor(n);
    return outcomes.back();
  }

  TestPlatform* platform;
  std::unique_ptr<HttpObjectStore> store;
  std::vector<AcceptOutcome> outcomes;
  Snapshot::Ptr newest = Snapshot::Empty();
  Committer committer;
};

/// `ObjectStore` that holds back gets or puts while the flag for them is set, until the test runs
/// them from `held`. A held get returns `kNotFound`.
class HoldingObjectStore : public ObjectStore {
 public:
  explicit HoldingObjectStore(ObjectStore* inner) : inner_(inner) {}

  void Get(const std::string& key, GetCallback callback) override {
    if (!hold_gets) return inner_->Get(key, std::move(callback));
    held.push_back([callback = std::move(callback)] { callback({Errc::kNotFound, 0, ""}); });
  }
  void Put(const std::string& key, std::string body, ObjectVersion expected_version,
           PutCallback callback) override {
    std::function<void()> call = [this, key, body = std::move(body), expected_version,
                                  callback = std::move(callback)] {
      inner_->Put(key, body, expected_version, callback);
    };
    if (!hold_puts) return call();
    held.push_back(std::move(call));
  }
  void Watch(const std::string& key, ObjectVersion after_version, milliseconds timeout,
             WatchCallback callback) override {
    inner_->Watch(key, after_version, timeout, std::move(callback));
  }
  void List(const std::string& prefix, ListCallback callback) override {
    inner_->List(prefix, std::move(callback));
  }
  void Delete(const std::string& key, ObjectVersion expected_version,
              DeleteCallback callback) override {
    inner_->Delete(key, expected_version, std::move(callback));
  }

  bool hold_gets = false;
  bool hold_puts = false;
  std::vector<std::function<void()>> held;

 private:
  ObjectStore* inner_;
};

/// Loads the configuration from the platform; fails the test if a page is missing or invalid.
Snapshot::Ptr LoadSnapshot(TestPlatform* platform) {
  const StoredObject* object = platform->server.objects().Get(kHeadObjectKey);
  CPPUNIT_ASSERT(object != nullptr);
  Findings findings;
  const auto head = DecodeHead(object->body, "head", &findings);
  CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
  SnapshotLoader loader(*head, nullptr);
  for (const std::string& it : loader.MissingPages()) {
    const StoredObject* page = platform->server.objects().Get(PageObjectKey(it));
    CPPUNIT_ASSERT(page != nullptr);
    CPPUNIT_ASSERT(loader.AddPage(it, page->body, &findings));
  }
  Snapshot::Ptr snapshot = loader.Finish(&findings);
  CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
  return snapshot;
}

/// How many times the head lists the change set as accepted.
int CountAcceptances(TestPlatform* platform, const std::string& id) {
  Findings findings;
  const auto head =
      DecodeHead(platform->server.objects().Get(kHeadObjectKey)->body, "head", &findings);
  CPPUNIT_ASSERT(head.has_value());
  return static_cast<int>(std::count_if(head->recent_change_sets.begin(),
                                        head->recent_change_sets.end(),
                                        [&id](const RecentChangeSet& it) { return it.id == id; }));
}

class CommitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommitterTest);
  CPPUNIT_TEST(AcceptsInOrder);
  CPPUNIT_TEST(SingleFaultsDoNotChangeOutcome);
  CPPUNIT_TEST(OutageBeforeAnyWriteHasNoEffect);
  CPPUNIT_TEST(OutageAfterHeadWriteIsUnknown);
  CPPUNIT_TEST(LateHeadWriteIsNotAppliedTwice);
  CPPUNIT_TEST(ConcurrentCommittersLoseNoChanges);
  CPPUNIT_TEST(ConcurrentUpdatesOfOneRecordConflict);
  CPPUNIT_TEST(QueueIsBounded);
  CPPUNIT_TEST(TimeLimitIncludesQueueTime);
  CPPUNIT_TEST(TimeLimitStartsAtCommit);
  CPPUNIT_TEST(LateResultOfExpiredChangeSetIsIgnored);
  CPPUNIT_TEST(WaitsForBudgetTokens);
  CPPUNIT_TEST(DestructionDropsCallbacks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsInOrder() {
    TestPlatform platform;
    Node node(&platform);
    for (int i = 0; i < 5; ++i) node.Start(Upsert("id" + std::to_string(i), "s", 100 + i));
    CPPUNIT_ASSERT(node.outcomes.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{5}, node.committer.pending());
    node.WaitFor(5);
    for (uint64_t i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(node.outcomes[i].status == AcceptStatus::kAccepted);
      CPPUNIT_ASSERT_EQUAL("id" + std::to_string(i), node.outcomes[i].change_set_id);
      CPPUNIT_ASSERT(node.outcomes[i].version == ConfigVersion(1, i + 1));
    }
    CPPUNIT_ASSERT_EQUAL(LoadSnapshot(&platform)->hash(), node.newest->hash());
    // Each change set takes one head read and two writes, besides the pages of the first one. No
    // page is read, because the committer keeps its last accepted configuration in memory.
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, platform.server.meter().get);
  }

  // Guards against a change set that is lost, applied twice or applied in part after one to three
  // faults of one kind of operation.
  void SingleFaultsDoNotChangeOutcome() {
    struct Case {
      const char* name;
      FaultMode mode;
      const char* prefix;
      const char* method;
    };
    const Case cases[] = {
        {"lost head write", FaultMode::kLostAnswer, kHeadPrefix, "PUT"},
        {"lost page write", FaultMode::kLostAnswer, kPagePrefix, "PUT"},
        {"lost head read", FaultMode::kLostAnswer, kHeadPrefix, "GET"},
        {"lost page read", FaultMode::kLostAnswer, kPagePrefix, "GET"},
        {"dropped head write", FaultMode::kDropBefore, kHeadPrefix, "PUT"},
        {"dropped page write", FaultMode::kDropBefore, kPagePrefix, "PUT"},
        {"dropped head read", FaultMode::kDropBefore, kHeadPrefix, "GET"},
        {"dropped page read", FaultMode::kDropBefore, kPagePrefix, "GET"},
    };
    for (const Case& it : cases) {
      for (uint64_t count : {1, 3}) {
        TestPlatform platform;
        Node first(&platform);
        CPPUNIT_ASSERT(first.Commit(Upsert("first", "a")).status == AcceptStatus::kAccepted);
        Node node(&platform);  // has to read the pages from the platform
        platform.server.faults().Set(
            {FaultRule{it.mode, count, milliseconds(0), it.prefix, {it.method}}});
        const AcceptOutcome outcome = node.Commit(Upsert("second", "b"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string("accepted"),
                                     std::string(ToString(outcome.status)));
        CPPUNIT_ASSERT_MESSAGE(it.name, platform.server.faults().injected() > 0);
        const Snapshot::Ptr loaded = LoadSnapshot(&platform);
        CPPUNIT_ASSERT_MESSAGE(it.name, loaded->version() == ConfigVersion(1, 2));
        CPPUNIT_ASSERT_MESSAGE(it.name, outcome.version == ConfigVersion(1, 2));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, size_t{2}, loaded->record_count());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, 1, CountAcceptances(&platform, "second"));
      }
    }
  }

  void OutageBeforeAnyWriteHasNoEffect() {
    TestPlatform platform;
    Node node(&platform);
    platform.server.faults().Set({FaultRule{FaultMode::kDown, 0, milliseconds(0), "", {}}});
    const AcceptOutcome outcome = node.Commit(Upsert("id", "a"));
    CPPUNIT_ASSERT(outcome.status == AcceptStatus::kUnknown);
    CPPUNIT_ASSERT(!outcome.may_take_effect);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, platform.server.objects().size());
    platform.server.faults().Set(std::vector<FaultRule>());
    CPPUNIT_ASSERT(node.Commit(Upsert("id", "a")).version == ConfigVersion(1, 1));
  }

  // Guards against reporting a change set as not applied although it is in force on the platform.
  void OutageAfterHeadWriteIsUnknown() {
    TestPlatform platform;
    Node node(&platform);
    platform.server.faults().Set(
        {FaultRule{FaultMode::kLostAnswer, 1, milliseconds(0), kHeadPrefix, {"PUT"}}});
    node.Start(Upsert("id", "a"));
    RunUntil(platform.base.get(), [&] { return platform.server.faults().injected() == 1; });
    platform.server.faults().Set({FaultRule{FaultMode::kDown, 0, milliseconds(0), "", {}}});
    node.WaitFor(1);
    CPPUNIT_ASSERT(node.outcomes[0].status == AcceptStatus::kUnknown);
    CPPUNIT_ASSERT(node.outcomes[0].may_take_effect);
    platform.server.faults().Set(std::vector<FaultRule>());
    // The operator submits the same change set to another node, which finds it in the head.
    Node other(&platform);
    const AcceptOutcome again = other.Commit(Upsert("id", "a"));
    CPPUNIT_ASSERT(again.status == AcceptStatus::kAccepted);
    CPPUNIT_ASSERT(again.version == ConfigVersion(1, 1));
    CPPUNIT_ASSERT(LoadSnapshot(&platform)->version() == ConfigVersion(1, 1));
  }

  // Guards against a second version of the same change set when a head write that timed out is
  // executed later (fault F3).
  void LateHeadWriteIsNotAppliedTwice() {
    constexpr milliseconds kStoreTimeout{200};
    TestPlatform platform;
    Node node(&platform, Node::ShortRetryLimits(), kStoreTimeout);
    platform.server.faults().Set(
        {FaultRule{FaultMode::kSlow, 1, 3 * kStoreTimeout, kHeadPrefix, {"PUT"}}});
    const AcceptOutcome outcome = node.Commit(Upsert("id", "a"));
    CPPUNIT_ASSERT(outcome.status == AcceptStatus::kAccepted);
    CPPUNIT_ASSERT(node.Commit(Upsert("next", "b")).status == AcceptStatus::kAccepted);
    bool stopped = false;  // a graceful stop executes the delayed write first
    platform.server.Stop([&stopped] { stopped = true; });
    RunUntil(platform.base.get(), [&stopped] { return stopped; });
    CPPUNIT_ASSERT(LoadSnapshot(&platform)->version() == ConfigVersion(1, 2));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, LoadSnapshot(&platform)->record_count());
    CPPUNIT_ASSERT_EQUAL(1, CountAcceptances(&platform, "id"));
  }

  // Guards against lost changes when two nodes commit concurrently, with and without lost
  // responses.
  void ConcurrentCommittersLoseNoChanges() {
    constexpr size_t kChanges = 8;
    for (uint64_t lost : {0, 4}) {
      TestPlatform platform;
      std::vector<FaultRule> rules;
      if (lost > 0) {
        rules = {FaultRule{FaultMode::kLostAnswer, lost, milliseconds(0), kHeadPrefix, {"PUT"}}};
      }
      platform.server.faults().Set(rules);
      Node a(&platform);
      Node b(&platform);
      for (size_t i = 0; i < kChanges; ++i) {
        a.Start(Upsert("a" + std::to_string(i), "a" + std::to_string(i)));
        b.Start(Upsert("b" + std::to_string(i), "b" + std::to_string(i)));
      }
      a.WaitFor(kChanges);
      b.WaitFor(kChanges);
      std::vector<ConfigVersion> versions;
      for (const Node* node : {&a, &b}) {
        for (const AcceptOutcome& it : node->outcomes) {
          CPPUNIT_ASSERT_EQUAL(std::string("accepted"), std::string(ToString(it.status)));
          CPPUNIT_ASSERT_EQUAL(1, CountAcceptances(&platform, it.change_set_id));
          versions.push_back(it.version);
        }
      }
      std::sort(versions.begin(), versions.end());
      CPPUNIT_ASSERT(std::unique(versions.begin(), versions.end()) == versions.end());
      const Snapshot::Ptr loaded = LoadSnapshot(&platform);
      CPPUNIT_ASSERT(loaded->version() == ConfigVersion(1, 2 * kChanges));
      CPPUNIT_ASSERT_EQUAL(2 * kChanges, loaded->record_count());
    }
  }

  void ConcurrentUpdatesOfOneRecordConflict() {
    TestPlatform platform;
    Node a(&platform);
    Node b(&platform);
    CPPUNIT_ASSERT(a.Commit(Upsert("base", "s", 100)).status == AcceptStatus::kAccepted);
    a.Start(ChangeSet{"a", {Change::Upsert(Service("s", 200), 1)}, false}, a.newest);
    b.Start(ChangeSet{"b", {Change::Upsert(Service("s", 300), 1)}, false}, a.newest);
    a.WaitFor(2);
    b.WaitFor(1);
    const AcceptOutcome& first = a.outcomes.back();
    const AcceptOutcome& second = b.outcomes.back();
    const bool a_accepted = first.status == AcceptStatus::kAccepted;
    const AcceptOutcome& conflicted = a_accepted ? second : first;
    CPPUNIT_ASSERT((a_accepted ? first : second).status == AcceptStatus::kAccepted);
    CPPUNIT_ASSERT(conflicted.status == AcceptStatus::kConflict);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, conflicted.conflicts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("service/s"), conflicted.conflicts[0].key.ToString());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, conflicted.conflicts[0].read_version);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, conflicted.conflicts[0].current_version);
    CPPUNIT_ASSERT(LoadSnapshot(&platform)->version() == ConfigVersion(1, 2));
  }

  void QueueIsBounded() {
    TestPlatform platform;
    CommitterLimits limits = Node::ShortRetryLimits();
    limits.max_pending = 3;
    Node node(&platform, limits);
    for (int i = 0; i < 5; ++i) node.Start(Upsert("id" + std::to_string(i), "s"));
    CPPUNIT_ASSERT(node.outcomes.empty());
    node.WaitFor(5);
    int accepted = 0;
    for (const AcceptOutcome& it : node.outcomes) {
      if (it.status == AcceptStatus::kAccepted) ++accepted;
      if (it.status == AcceptStatus::kUnknown) CPPUNIT_ASSERT(!it.may_take_effect);
    }
    CPPUNIT_ASSERT_EQUAL(3, accepted);
    CPPUNIT_ASSERT(LoadSnapshot(&platform)->version() == ConfigVersion(1, 3));
  }

  // Guards against a time limit that starts only when a change set reaches the front of the queue:
  // while the platform does not respond, it would first wait for the limits of all those before it.
  void TimeLimitIncludesQueueTime() {
    constexpr int kChanges = 20;
    TestPlatform platform;
    CommitterLimits limits = Node::ShortRetryLimits();
    limits.time_limit = milliseconds(1000);
    Node node(&platform, limits);
    platform.server.faults().Set(
        {FaultRule{FaultMode::kSlow, 0, std::chrono::minutes(10), "", {}}});
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kChanges; ++i) node.Start(Upsert("id" + std::to_string(i), "s"));
    node.WaitFor(kChanges);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < kChanges * limits.time_limit / 2);
    for (const AcceptOutcome& it : node.outcomes) {
      CPPUNIT_ASSERT(it.status == AcceptStatus::kUnknown);
    }
    // A change set that was committed slightly later than the previous one may start in its
    // remaining time; starting all of them is the failure.
    CPPUNIT_ASSERT(platform.server.meter().get <= kChanges / 2);
  }

  // Guards against the same failure for a change set that reaches the front of the queue before its
  // time limit has passed.
  void TimeLimitStartsAtCommit() {
    TestPlatform platform;
    CommitterLimits limits = Node::ShortRetryLimits();
    limits.time_limit = milliseconds(2000);
    Node node(&platform, limits);
    platform.server.faults().Set(
        {FaultRule{FaultMode::kSlow, 0, std::chrono::minutes(10), "", {}}});
    node.Start(Upsert("first", "s"));
    bool later = false;
    Timer pause(platform.base.get(), [&later] { later = true; });
    pause.StartOnce(milliseconds(200));
    RunUntil(platform.base.get(), [&later] { return later; });
    const auto start = std::chrono::steady_clock::now();
    node.Start(Upsert("second", "s"));
    node.WaitFor(2);
    // If the limit started at the front of the queue, this would take nearly twice the limit.
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < limits.time_limit * 8 / 5);
  }

  // Guards against a late read result that is passed to the acceptance of the next change set.
  void LateResultOfExpiredChangeSetIsIgnored() {
    TestPlatform platform;
    const auto inner = platform.NewStore(kTimeout);
    HoldingObjectStore store(inner.get());
    CommitterLimits limits;
    limits.time_limit = milliseconds(2000);
    Committer committer(platform.base.get(), &store, limits);
    std::vector<AcceptOutcome> outcomes;
    const auto collect = [&](const AcceptOutcome& it, const Snapshot::Ptr&) {
      outcomes.push_back(it);
    };
    store.hold_gets = true;
    committer.Commit(Upsert("expired", "a"), Snapshot::Empty(), kSchema, collect);
    RunUntil(platform.base.get(), [&outcomes] { return outcomes.size() == 1; });
    CPPUNIT_ASSERT(outcomes[0].status == AcceptStatus::kUnknown);
    store.hold_gets = false;
    store.hold_puts = true;
    committer.Commit(Upsert("next", "b"), Snapshot::Empty(), kSchema, collect);
    RunUntil(platform.base.get(), [&store] { return store.held.size() == 2; });
    store.hold_puts = false;
    store.held[0]();  // the read of the first change set
    store.held[1]();  // the write of the second one
    RunUntil(platform.base.get(), [&outcomes] { return outcomes.size() == 2; });
    CPPUNIT_ASSERT(outcomes[1].status == AcceptStatus::kAccepted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, LoadSnapshot(&platform)->record_count());
  }

  // Guards against a large change set that can never be committed because it has more pages than
  // the write burst of the node's budget.
  void WaitsForBudgetTokens() {
    constexpr int kRecords = 30;
    TestPlatform platform;
    const auto inner = platform.NewStore(kTimeout);
    StoreBudget budget;
    budget.read_burst = 1;
    budget.write_burst = 2;
    budget.reads_per_second = 100;
    // The bucket gains a token every 50 ms, ten times the retry delay and longer than all attempts
    // of one operation together.
    budget.writes_per_second = 20;
    BudgetedObjectStore store(platform.base.get(), inner.get(), budget);
    CommitterLimits limits = Node::ShortRetryLimits();
    limits.time_limit = kMaxTestWait;
    Committer committer(platform.base.get(), &store, limits);
    ChangeSet change_set{"id", {}, false};
    for (int i = 0; i < kRecords; ++i) {
      change_set.changes.push_back(
          Change::UnconditionalUpsert(Service("s" + std::to_string(i), 100)));
    }
    std::vector<AcceptOutcome> outcomes;
    committer.Commit(
        std::move(change_set), Snapshot::Empty(), kSchema,
        [&](const AcceptOutcome& it, const Snapshot::Ptr&) { outcomes.push_back(it); });
    RunUntil(platform.base.get(), [&outcomes] { return outcomes.size() == 1; });
    CPPUNIT_ASSERT(outcomes[0].status == AcceptStatus::kAccepted);
    CPPUNIT_ASSERT(store.meter().Stats(StoreCall::kPut).refused > 5);
    CPPUNIT_ASSERT_EQUAL(size_t{kRecords}, LoadSnapshot(&platform)->record_count());
  }

  void DestructionDropsCallbacks() {
    TestPlatform platform;
    const auto store = platform.NewStore(kTimeout);
    auto committer = std::make_unique<Committer>(platform.base.get(), store.get());
    int calls = 0;
    const auto count = [&calls](const AcceptOutcome&, const Snapshot::Ptr&) { ++calls; };
    committer->Commit(Upsert("a", "s"), Snapshot::Empty(), kSchema, count);
    RunUntil(platform.base.get(), [&] { return platform.server.meter().get == 1; });
    committer.reset();
    // The callback may destroy the committer.
    committer = std::make_unique<Committer>(platform.base.get(), store.get());
    bool done = false;
    committer->Commit(Upsert("b", "s"), Snapshot::Empty(), kSchema,
                      [&](const AcceptOutcome&, const Snapshot::Ptr&) {
                        done = true;
                        committer.reset();
                      });
    committer->Commit(Upsert("c", "s"), Snapshot::Empty(), kSchema, count);
    RunUntil(platform.base.get(), [&done] { return done; });
    platform.Get(store.get(), "a");
    CPPUNIT_ASSERT_EQUAL(0, calls);
    CPPUNIT_ASSERT(LoadSnapshot(&platform)->version() == ConfigVersion(1, 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommitterTest);

}  // namespace
}  // namespace camphorhoist
