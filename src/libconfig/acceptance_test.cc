#include "camphorhoist/acceptance.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "libconfig/config_fixture.h"
#include "libconfig/fake_store.h"

namespace camphorhoist {
namespace {

constexpr int kFleetSchema = kMaxSchema;

Record Service(const std::string& name, int timeout_ms) {
  return ParseRecord(R"({"schema":1,"kind":"service","name":")" + name + R"(","timeout_ms":)" +
                     std::to_string(timeout_ms) + "}");
}

Record RouteTo(const std::string& name, const std::string& service) {
  return ParseRecord(R"({"schema":2,"kind":"route","name":")" + name +
                     R"(","match":{"path_prefix":"/)" + name +
                     R"("},"destinations":[{"service":")" + service + R"(","weight":1}]})");
}

AcceptOutcome Submit(FakeStore* store, const ChangeSet& change_set, int schema = kFleetSchema,
                     Snapshot::Ptr base = Snapshot::Empty()) {
  Acceptance acceptance(change_set, std::move(base), schema);
  return RunAcceptance(store, &acceptance);
}

class AcceptanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AcceptanceTest);
  CPPUNIT_TEST(AcceptsAndVersionsRecords);
  CPPUNIT_TEST(ConflictNamesRecordAndField);
  CPPUNIT_TEST(RejectsWithAllFindings);
  CPPUNIT_TEST(ChecksFleetSchema);
  CPPUNIT_TEST(ResubmissionIsIdempotent);
  CPPUNIT_TEST(RefusesLostOrOlderHead);
  CPPUNIT_TEST(PendingWriteBeyondRecentIsUnknown);
  CPPUNIT_TEST(PendingWriteAcrossEpochsIsUnknown);
  CPPUNIT_TEST(ChangedHeadResolvesPendingWrite);
  CPPUNIT_TEST(DamagedObjectsAreUnknown);
  CPPUNIT_TEST(StopsAfterMaxRebases);
  CPPUNIT_TEST(HeadAndPagesStayBelowLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const ChangeSet first = {
        "c1", {Change::Upsert(Service("a", 1), 0), Change::Upsert(Service("b", 1), 0)}};
    store_ = FakeStore();
    CPPUNIT_ASSERT(Submit(&store_, first).status == AcceptStatus::kAccepted);
  }

  // Guards against record versions that differ from the version of the acceptance, which would
  // break the conflict check of the next change.
  void AcceptsAndVersionsRecords() {
    const ChangeSet change = {
        "c2",
        {Change::Upsert(Service("a", 2), 1), Change::Remove({RecordKind::kService, "b"}, 1),
         Change::UnconditionalUpsert(RouteTo("r", "a"))}};
    Acceptance acceptance(change, Snapshot::Empty(), kFleetSchema);
    const AcceptOutcome outcome = RunAcceptance(&store_, &acceptance);
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), std::string(ToString(outcome.status)));
    CPPUNIT_ASSERT_EQUAL(std::string("1.2"), outcome.version.ToString());
    const Snapshot::Ptr now = Load();
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, now->Find({RecordKind::kService, "a"})->version);
    CPPUNIT_ASSERT(now->Find({RecordKind::kService, "b"}) == nullptr);
    CPPUNIT_ASSERT_EQUAL(now->hash(), acceptance.accepted_snapshot()->hash());
    CPPUNIT_ASSERT(now->version() == acceptance.accepted_snapshot()->version());
  }

  // Guards against a lost update when two operators change the same record (F6).
  void ConflictNamesRecordAndField() {
    CPPUNIT_ASSERT(Submit(&store_, {"c2", {Change::Upsert(Service("a", 2), 1)}}).status ==
                   AcceptStatus::kAccepted);
    const ChangeSet late = {"c3",
                            {Change::Upsert(Service("a", 3), 1), Change::Upsert(Service("b", 1), 0),
                             Change::Remove({RecordKind::kService, "x"}, 1)}};
    const AcceptOutcome outcome = Submit(&store_, late);
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), std::string(ToString(outcome.status)));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "service/a: was read at version 1, but is at version 2 and differs in /timeout_ms\n"
            "service/b: was read at version 0, but is at version 1\n"
            "service/x: was read at version 1, but does not exist"),
        outcome.findings.ToString());
    CPPUNIT_ASSERT_EQUAL(std::string("/timeout_ms"), outcome.conflicts[0].field);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, outcome.conflicts[0].current_version);
    CPPUNIT_ASSERT(Load()->version() == ConfigVersion(1, 2));
  }

  // Guards against an invalid configuration in force (P3) and against reporting only the first
  // error.
  void RejectsWithAllFindings() {
    const ChangeSet change = {
        "c2",
        {Change::Upsert(RouteTo("r", "x"), 0), Change::Upsert(RouteTo("s", "y"), 0),
         Change::UnconditionalRemove({RecordKind::kService, "z"})}};
    const AcceptOutcome outcome = Submit(&store_, change);
    CPPUNIT_ASSERT_EQUAL(std::string("rejected"), std::string(ToString(outcome.status)));
    CPPUNIT_ASSERT_EQUAL(
        std::string("service/z: does not exist and cannot be removed\n"
                    "route/r.destinations[0].service: service \"x\" does not exist\n"
                    "route/s.destinations[0].service: service \"y\" does not exist"),
        outcome.findings.ToString());
    CPPUNIT_ASSERT(Load()->version() == ConfigVersion(1, 1));
    CPPUNIT_ASSERT(Submit(&store_, {"", {}}).findings.items().size() == 2);
  }

  // Guards against a configuration with a record schema that a live node does not understand.
  void ChecksFleetSchema() {
    ChangeSet change = {"c2", {Change::Upsert(RouteTo("r", "a"), 0)}};
    const AcceptOutcome outcome = Submit(&store_, change, 1);
    CPPUNIT_ASSERT_EQUAL(
        std::string("route/r.schema: is 2, but a live node understands only schema 1 and below"),
        outcome.findings.ToString());
    CPPUNIT_ASSERT(outcome.status == AcceptStatus::kRejected);
    change.allow_newer_schema = true;
    CPPUNIT_ASSERT(Submit(&store_, change, 1).status == AcceptStatus::kAccepted);
  }

  // Guards against a change set that is applied again when an operator resubmits it.
  void ResubmissionIsIdempotent() {
    const ChangeSet change = {"c2", {Change::UnconditionalUpsert(Service("a", 2))}};
    Submit(&store_, change);
    Submit(&store_, {"c3", {Change::Upsert(Service("a", 3), 2)}});
    const AcceptOutcome outcome = Submit(&store_, change);
    CPPUNIT_ASSERT(outcome.status == AcceptStatus::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::string("1.2"), outcome.version.ToString());
    CPPUNIT_ASSERT(Load()->version() == ConfigVersion(1, 3));
  }

  // Guards against a head with a version lower than the one in force after the platform lost data
  // (P1).
  void RefusesLostOrOlderHead() {
    const Snapshot::Ptr first = Load();
    const ReadResult old_head = store_.Read(kHeadObjectKey);
    Submit(&store_, {"c2", {Change::Upsert(Service("a", 2), 1)}});
    const Snapshot::Ptr second = Load();
    const ChangeSet change = {"c3", {Change::UnconditionalUpsert(Service("a", 3))}};
    store_.Replace(kHeadObjectKey, std::get<ObjectFound>(old_head).body);
    CPPUNIT_ASSERT(Submit(&store_, change, kFleetSchema, second).status == AcceptStatus::kUnknown);
    CPPUNIT_ASSERT_EQUAL(first->hash(), Load()->hash());
    store_.Remove(kHeadObjectKey);
    CPPUNIT_ASSERT(Submit(&store_, change, kFleetSchema, second).status == AcceptStatus::kUnknown);
    CPPUNIT_ASSERT(Load() == Snapshot::Empty());
  }

  // Guards against reporting "conflict" for a change set that was accepted, but whose id the head
  // no longer lists because 128 later change sets were accepted.
  void PendingWriteBeyondRecentIsUnknown() {
    for (const int others :
         {static_cast<int>(kMaxRecentChangeSets) - 1, static_cast<int>(kMaxRecentChangeSets)}) {
      setUp();
      Acceptance acceptance({"c2", {Change::Upsert(Service("a", 2), 1)}}, Load(), kFleetSchema);
      StopBeforeHeadWrite(&acceptance);
      store_.Write(head_write_);
      for (int n = 0; n < others; ++n) {
        Submit(&store_, {"o" + std::to_string(n), {Change::UnconditionalUpsert(Service("b", 2))}},
               kFleetSchema, Load());
      }
      const AcceptOutcome outcome = Finish(&acceptance, acceptance.OnTimeout());
      const bool listed = others < static_cast<int>(kMaxRecentChangeSets);
      CPPUNIT_ASSERT_EQUAL(std::string(listed ? "accepted" : "unknown"),
                           std::string(ToString(outcome.status)));
      CPPUNIT_ASSERT_EQUAL(!listed, outcome.may_take_effect);
    }
  }

  // Guards against reporting "conflict" for a change set that was accepted before the head was
  // restored with another epoch.
  void PendingWriteAcrossEpochsIsUnknown() {
    Acceptance acceptance({"c2", {Change::Upsert(Service("a", 2), 1)}}, Load(), kFleetSchema);
    StopBeforeHeadWrite(&acceptance);
    ConfigHead restored = MakeHead(*Load(), {}, "restore");
    restored.version = ConfigVersion(2, 1);
    store_.Replace(kHeadObjectKey, EncodeHead(restored));
    const AcceptOutcome outcome = Finish(&acceptance, acceptance.OnTimeout());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), std::string(ToString(outcome.status)));
    CPPUNIT_ASSERT(outcome.may_take_effect);
  }

  // Guards against reporting that a head write may take effect although the head has changed since,
  // so that its condition can no longer be met.
  void ChangedHeadResolvesPendingWrite() {
    Acceptance acceptance({"c2", {Change::Upsert(Service("a", 2), 1)}}, Load(), kFleetSchema);
    StopBeforeHeadWrite(&acceptance);
    AcceptEffect effect = acceptance.OnTimeout();
    Submit(&store_, {"o", {Change::UnconditionalUpsert(Service("b", 2))}});
    effect = Step(&acceptance, effect);
    CPPUNIT_ASSERT(std::holds_alternative<ReadObject>(effect));
    CPPUNIT_ASSERT(!acceptance.OnDeadline().may_take_effect);
  }

  // Guards against a write based on a configuration that could not be read completely (P3).
  void DamagedObjectsAreUnknown() {
    const std::string page =
        PageObjectKey(Load()->pages()[PageIndexOf({RecordKind::kService, "a"})]->hash());
    const std::string head = std::get<ObjectFound>(store_.Read(kHeadObjectKey)).body;
    const ChangeSet change = {"c2", {Change::Upsert(Service("a", 2), 1)}};
    for (const std::string& it : {std::string("{"), head + " ", std::string("{}")}) {
      store_.Replace(kHeadObjectKey, it);
      CPPUNIT_ASSERT(Submit(&store_, change).status == AcceptStatus::kUnknown);
    }
    store_.Replace(kHeadObjectKey, head);
    store_.Replace(page, "{\"records\":[]}");
    CPPUNIT_ASSERT(Submit(&store_, change).status == AcceptStatus::kUnknown);
    store_.Remove(page);
    CPPUNIT_ASSERT(Submit(&store_, change).status == AcceptStatus::kUnknown);
    CPPUNIT_ASSERT_EQUAL(head, std::get<ObjectFound>(store_.Read(kHeadObjectKey)).body);
  }

  // Guards against an acceptance that never ends while other operators write, and against a wrong
  // result when it reaches its limit of rebases.
  void StopsAfterMaxRebases() {
    constexpr int kRebases = 3;
    Acceptance acceptance({"c2", {Change::Upsert(Service("a", 2), 1)}}, Load(), kFleetSchema,
                          {5, kRebases});
    AcceptEffect effect = acceptance.Start();
    int head_writes = 0;
    while (!std::holds_alternative<AcceptOutcome>(effect)) {
      const auto* write = std::get_if<WriteObject>(&effect);
      if (write != nullptr && write->key == kHeadObjectKey) {
        const std::string id = "o" + std::to_string(++head_writes);
        Submit(&store_, {id, {Change::UnconditionalUpsert(Service("b", 2))}});
      }
      effect = Step(&acceptance, effect);
    }
    const auto& outcome = std::get<AcceptOutcome>(effect);
    CPPUNIT_ASSERT(outcome.status == AcceptStatus::kUnknown);
    CPPUNIT_ASSERT(!outcome.may_take_effect);
    CPPUNIT_ASSERT_EQUAL(kRebases + 1, head_writes);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Load()->Find({RecordKind::kService, "a"})->version);
  }

  // Guards against an object that the platform refuses because it is larger than 1 MB.
  void HeadAndPagesStayBelowLimit() {
    std::vector<RecentChangeSet> recent;
    for (uint64_t n = 1; n <= kMaxRecentChangeSets; ++n) {
      recent.push_back({std::string(128, 'x'), n});
    }
    const ConfigHead head = MakeHead(*BuildSnapshot(129, "[]"), recent, std::string(128, 'y'));
    CPPUNIT_ASSERT_EQUAL(kMaxRecentChangeSets, head.recent_change_sets.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, head.recent_change_sets.front().number);
    CPPUNIT_ASSERT(EncodeHead(head).size() < kMaxConfigObjectBytes);
    std::vector<StoredRecord> records;
    for (int n = 0; records.size() < 16; ++n) {
      const Record record = LargeRoute(n);
      if (PageIndexOf(record.key()) == 0) records.push_back({record, 1});
    }
    records.push_back({Service("a", 1), 1});
    Findings findings;
    CPPUNIT_ASSERT(Snapshot::Build({1, 1}, records, &findings) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("page 0: would be larger than 1000000 bytes"),
                         findings.ToString());
  }

 private:
  /// Returns a route record of nearly 64 KB.
  static Record LargeRoute(int n) {
    const std::string name = "r" + std::to_string(n);
    std::string methods;
    for (int i = 0; i < 1850; ++i) {
      std::string method(28, 'M');
      for (const int digit : {i / 676, i / 26 % 26, i % 26}) {
        method += static_cast<char>('A' + digit);
      }
      methods += (i == 0 ? "\"" : ",\"") + method + "\"";
    }
    return ParseRecord(R"({"schema":1,"kind":"route","name":")" + name +
                       R"(","match":{"path_prefix":"/)" + name + R"("},"service":"a",)" +
                       R"("idempotent":[)" + methods + "]}");
  }

  AcceptEffect Step(Acceptance* acceptance, const AcceptEffect& effect) {
    if (const auto* read = std::get_if<ReadObject>(&effect)) {
      return acceptance->OnRead(store_.Read(read->key));
    }
    return acceptance->OnWrite(store_.Write(std::get<WriteObject>(effect)));
  }

  void StopBeforeHeadWrite(Acceptance* acceptance) {
    AcceptEffect effect = acceptance->Start();
    const auto* write = std::get_if<WriteObject>(&effect);
    while (write == nullptr || write->key != kHeadObjectKey) {
      effect = Step(acceptance, effect);
      write = std::get_if<WriteObject>(&effect);
    }
    head_write_ = *write;
  }

  AcceptOutcome Finish(Acceptance* acceptance, AcceptEffect effect) {
    while (!std::holds_alternative<AcceptOutcome>(effect)) effect = Step(acceptance, effect);
    return std::get<AcceptOutcome>(effect);
  }

  Snapshot::Ptr Load() const {
    Findings findings;
    Snapshot::Ptr snapshot = store_.Load(&findings);
    CPPUNIT_ASSERT_EQUAL(std::string(), findings.ToString());
    return snapshot;
  }

  FakeStore store_;
  WriteObject head_write_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcceptanceTest);

}  // namespace
}  // namespace camphorhoist
