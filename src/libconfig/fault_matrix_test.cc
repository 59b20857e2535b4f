#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/acceptance.h"
#include "camphorhoist/replica.h"
#include "libconfig/config_fixture.h"
#include "libconfig/config_trace_checks.h"
#include "libconfig/fake_store.h"
#include "testing/matrix_sampler.h"

namespace camphorhoist {
namespace {

enum class FaultKind {
  kFailed,           // the operation has no effect and its failure is reported
  kLost,             // the operation takes effect, but its response is lost
  kCancelled,        // the operation times out and has no effect
  kLate,             // the operation times out and takes effect two steps later
  kVeryLate,         // the operation times out and takes effect after the acceptance has ended
  kOtherWriter,      // another operator changes another record before the step
  kSameWriter,       // another operator changes the same record before the step
  kDuplicateSubmit,  // another node submits the same change set and completes it before the step
  kOutage,           // this and all following operations time out and have no effect
  kLostOutage,       // kLost, with kOutage from the next step on
  kDeadline,         // the deadline of the acceptance passes; a pending write takes effect later
};

constexpr int kKindCount = 11;
const char* const kKindNames[] = {"failed",    "lost",        "cancelled", "late",
                                  "very late", "other",       "same",      "duplicate",
                                  "outage",    "lost+outage", "deadline"};

struct Fault {
  int step = 0;
  FaultKind kind = FaultKind::kFailed;
};

std::string Describe(const std::vector<Fault>& faults) {
  std::string text;
  for (const Fault& it : faults) {
    text +=
        std::string(kKindNames[static_cast<size_t>(it.kind)]) + "@" + std::to_string(it.step) + " ";
  }
  return text;
}

bool Has(const std::vector<Fault>& faults, FaultKind kind) {
  return std::any_of(faults.begin(), faults.end(),
                     [kind](const Fault& it) { return it.kind == kind; });
}

Record Service(const std::string& name, int timeout_ms) {
  return ParseRecord(R"({"schema":1,"kind":"service","name":")" + name + R"(","timeout_ms":)" +
                     std::to_string(timeout_ms) + "}");
}

/// Runs one acceptance against a store with faults and then resubmits the change set without
/// faults. `has_head` tells whether the store holds a configuration, `node_has_config` whether the
/// node that runs the acceptance already has it.
class FaultSession {
 public:
  FaultSession(std::vector<Fault> faults, bool has_head, bool node_has_config)
      : faults_(std::move(faults)) {
    if (has_head) store_ = StoreWithHead();
    store_.SetOnApplied([this](const std::string& key) { OnApplied(key); });
    if (has_head) OnApplied(kHeadObjectKey);
    const Snapshot::Ptr base = node_has_config ? replica_.current() : Snapshot::Empty();
    change_set_ = {"subject",
                   {Change::Upsert(Service("a", 2), has_head ? 1 : 0),
                    Change::Upsert(ParseRecord(R"({"schema":1,"kind":"route","name":"r",
                        "match":{"path_prefix":"/"},"service":"a"})"),
                                   0)}};
    Acceptance acceptance(change_set_, base, kMaxSchema);
    outcome_ = Run(&acceptance);
    for (const WriteObject& it : very_late_) store_.Write(it);
    CheckGuarantees();
  }

  const AcceptOutcome& outcome() const { return outcome_; }
  int steps() const { return step_; }
  /// Violated guarantees, one per line; empty if there are none.
  std::string violations() const { return violations_.ToString(); }

 private:
  struct LateWrite {
    int due_step;
    WriteObject write;
  };

  /// Returns a store that holds version 1.1 with the services "a" and "b".
  static const FakeStore& StoreWithHead() {
    static const FakeStore kStore = [] {
      FakeStore store;
      Acceptance acceptance(
          {"first", {Change::Upsert(Service("a", 1), 0), Change::Upsert(Service("b", 1), 0)}},
          Snapshot::Empty(), kMaxSchema);
      RunAcceptance(&store, &acceptance);
      return store;
    }();
    return kStore;
  }

  AcceptOutcome Run(Acceptance* acceptance) {
    AcceptEffect effect = acceptance->Start();
    for (; !std::holds_alternative<AcceptOutcome>(effect); ++step_) {
      ApplyLateWrites();
      RunConcurrentWriters();
      if (std::optional<FaultKind> fault = FaultOfOperation()) {
        if (*fault == FaultKind::kDeadline) {
          if (const auto* write = std::get_if<WriteObject>(&effect)) very_late_.push_back(*write);
          return acceptance->OnDeadline();
        }
        effect = ExecuteWithFault(acceptance, effect, *fault);
      } else if (const auto* read = std::get_if<ReadObject>(&effect)) {
        effect = acceptance->OnRead(store_.Read(read->key));
      } else {
        effect = acceptance->OnWrite(store_.Write(std::get<WriteObject>(effect)));
      }
    }
    return std::get<AcceptOutcome>(effect);
  }

  void ApplyLateWrites() {
    for (const LateWrite& it : late_) {
      if (it.due_step == step_) store_.Write(it.write);
    }
  }

  void RunConcurrentWriters() {
    for (const Fault& it : faults_) {
      if (it.step != step_) continue;
      const std::string id =
          std::string(kKindNames[static_cast<size_t>(it.kind)]) + std::to_string(step_);
      if (it.kind == FaultKind::kOtherWriter) {
        Submit({id, {Change::UnconditionalUpsert(Service("b", 10 + step_))}});
      } else if (it.kind == FaultKind::kSameWriter) {
        Submit({id, {Change::UnconditionalUpsert(Service("a", 10 + step_))}});
      } else if (it.kind == FaultKind::kDuplicateSubmit) {
        Submit(change_set_);
      }
    }
  }

  std::optional<FaultKind> FaultOfOperation() const {
    std::optional<FaultKind> fault;
    for (const Fault& it : faults_) {
      const bool outage = it.kind == FaultKind::kOutage || it.kind == FaultKind::kLostOutage;
      if (outage && it.step < step_) return FaultKind::kOutage;
      if (it.step != step_ || IsConcurrentWriter(it.kind)) continue;
      fault = it.kind;
    }
    return fault;
  }

  static bool IsConcurrentWriter(FaultKind kind) {
    return kind == FaultKind::kOtherWriter || kind == FaultKind::kSameWriter ||
           kind == FaultKind::kDuplicateSubmit;
  }

  AcceptEffect ExecuteWithFault(Acceptance* acceptance, const AcceptEffect& effect,
                                FaultKind fault) {
    const auto* write = std::get_if<WriteObject>(&effect);
    if (write == nullptr) {
      if (fault == FaultKind::kFailed) return acceptance->OnRead(OperationFailed{"refused"});
      return acceptance->OnTimeout();
    }
    switch (fault) {
      case FaultKind::kFailed:
        return acceptance->OnWrite(OperationFailed{"refused"});
      case FaultKind::kLost:
      case FaultKind::kLostOutage:
        store_.Write(*write);
        return acceptance->OnWrite(WriteUnknown{"connection lost"});
      case FaultKind::kLate:
        late_.push_back({step_ + 2, *write});
        break;
      case FaultKind::kVeryLate:
        very_late_.push_back(*write);
        break;
      default:
        break;
    }
    return acceptance->OnTimeout();
  }

  /// Submits `change_set` at another node, without faults.
  AcceptOutcome Submit(const ChangeSet& change_set) {
    Acceptance acceptance(change_set, Snapshot::Empty(), kMaxSchema);
    AcceptOutcome outcome = RunAcceptance(&store_, &acceptance);
    if (outcome.status == AcceptStatus::kAccepted) {
      trace_.AddAccepted(change_set, outcome.version);
    }
    return outcome;
  }

  void OnApplied(const std::string& key) {
    if (key != kHeadObjectKey) return;
    const ReadResult read = store_.Read(kHeadObjectKey);
    const LoadedHead* loaded = Load(std::get<ObjectFound>(read).body);
    if (loaded == nullptr) return;
    trace_.AddInForce("platform", loaded->snapshot);
    replica_.TryApply(loaded->snapshot);
    trace_.AddInForce("replica", replica_.current());
    trace_.AddHead(loaded->head);
  }

  struct LoadedHead {
    ConfigHead head;
    Snapshot::Ptr snapshot;
  };

  /// Loads the configuration of `head_body` from the store. Decoding a head takes most of the time
  /// of a session, so results are cached by head body; the pages in the store are checked each
  /// time.
  const LoadedHead* Load(const std::string& head_body) {
    static std::map<std::string, LoadedHead> cache;
    const auto it = cache.find(head_body);
    if (it != cache.end()) {
      store_.CheckPages(it->second.head, &violations_);
      return &it->second;
    }
    LoadedHead loaded;
    loaded.snapshot = store_.Load(&violations_);
    if (loaded.snapshot == nullptr) return nullptr;
    loaded.head = *DecodeHead(head_body, kHeadObjectKey, &violations_);
    return &cache.emplace(head_body, std::move(loaded)).first->second;
  }

  bool InForce() const {
    for (const ConfigHead& it : trace_.heads()) {
      if (it.AcceptedNumber(change_set_.id)) return true;
    }
    return false;
  }

  void CheckGuarantees() {
    const bool in_force = InForce();
    const bool duplicate_submit = Has(faults_, FaultKind::kDuplicateSubmit);
    switch (outcome_.status) {
      case AcceptStatus::kAccepted:
        if (!in_force) violations_.Add("outcome", "accepted, but not in force");
        trace_.AddAccepted(change_set_, outcome_.version);
        break;
      case AcceptStatus::kConflict:
      case AcceptStatus::kRejected:
        if (in_force) violations_.Add("outcome", "refused, but in force");
        break;
      case AcceptStatus::kUnknown:
        if (in_force && !outcome_.may_take_effect && !duplicate_submit) {
          violations_.Add("outcome", "cannot take effect, but is in force");
        }
        break;
    }
    const AcceptOutcome resubmitted = Submit(change_set_);
    if (resubmitted.status == AcceptStatus::kUnknown) {
      violations_.Add("resubmission", "unknown without a fault");
    }
    if (in_force && resubmitted.status != AcceptStatus::kAccepted) {
      violations_.Add("resubmission", "refused, but in force");
    }
    CheckTrace(trace_, &violations_);
  }

  std::vector<Fault> faults_;
  ChangeSet change_set_;
  FakeStore store_;
  Replica replica_;
  ConfigTrace trace_;
  Findings violations_;
  AcceptOutcome outcome_;
  std::vector<LateWrite> late_;
  std::vector<WriteObject> very_late_;
  int step_ = 0;
};

struct InitialState {
  bool has_head;
  bool node_has_config;
};
const InitialState kInitialStates[] = {{false, false}, {true, false}, {true, true}};

class FaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultMatrixTest);
  CPPUNIT_TEST(EverySingleFault);
  CPPUNIT_TEST(EveryPairOfFaults);
  CPPUNIT_TEST(SeededManyFaults);
  CPPUNIT_TEST(CheckersReportViolations);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a wrong result for the operator after any single fault at any step, and against
  // an acceptance that ends without success although it could have retried.
  void EverySingleFault() {
    for (const InitialState& initial : kInitialStates) {
      const int steps = FaultSession({}, initial.has_head, initial.node_has_config).steps();
      for (int step = 0; step < steps; ++step) {
        for (int kind = 0; kind < kKindCount; ++kind) {
          Check({{step, static_cast<FaultKind>(kind)}}, initial, steps);
        }
      }
    }
  }

  // Guards against wrong handling of combined faults, such as a lost response followed by a
  // concurrent writer.
  void EveryPairOfFaults() {
    MatrixSampler sampler;
    for (const InitialState& initial : kInitialStates) {
      const int steps = FaultSession({}, initial.has_head, initial.node_has_config).steps();
      for (int first = 0; first < steps; ++first) {
        // A retry adds steps beyond `steps`, in which the second fault can occur.
        for (int second = first; second < steps + 4; ++second) {
          for (int n = 0; n < kKindCount * kKindCount; ++n) {
            if (!sampler.SelectsNext()) continue;
            Check({{first, static_cast<FaultKind>(n / kKindCount)},
                   {second, static_cast<FaultKind>(n % kKindCount)}},
                  initial, steps);
          }
        }
      }
    }
  }

  // Guards against failures that need more than two faults; the faults are random with a fixed
  // seed.
  void SeededManyFaults() {
    constexpr uint64_t kSeed = 20261204;
    constexpr int kSessions = 3000;
    std::mt19937_64 rng(kSeed);
    for (int n = 0; n < kSessions; ++n) {
      std::vector<Fault> faults;
      for (uint64_t i = rng() % 8; i > 0; --i) {
        faults.push_back(
            {static_cast<int>(rng() % 24), static_cast<FaultKind>(rng() % kKindCount)});
      }
      const InitialState& initial = kInitialStates[rng() % 3];
      const FaultSession session(faults, initial.has_head, initial.node_has_config);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(faults), std::string(), session.violations());
    }
  }

  // Guards against checks that accept every trace.
  void CheckersReportViolations() {
    const std::string service = R"([{"schema":1,"kind":"service","name":"a"}])";
    const Snapshot::Ptr first = BuildSnapshot(1, service);
    const Snapshot::Ptr second = BuildSnapshot(2, service);
    ConfigTrace lower;
    lower.AddInForce("n", second);
    lower.AddInForce("n", first);
    ConfigTrace partial;
    partial.AddInForce("n", first);
    partial.AddInForce("m", BuildSnapshot(1, "[]"));
    ConfigTrace head;
    head.AddHead(MakeHead(*first, {}, "c"));
    head.AddInForce("m", BuildSnapshot(1, "[]"));
    ConfigTrace reverted;
    reverted.AddAccepted({"c", {Change::Upsert(Service("a", 1), 1)}}, {1, 2});
    reverted.AddInForce("n", BuildSnapshot(3, "[]"));
    ConfigTrace twice;
    twice.AddHead(MakeHead(*first, {}, "c"));
    twice.AddHead(MakeHead(*second, {{"c", 1}}, "c"));
    for (const ConfigTrace* it : {&lower, &partial, &head, &reverted, &twice}) {
      Findings findings;
      CheckTrace(*it, &findings);
      CPPUNIT_ASSERT(!findings.empty());
    }
  }

 private:
  static bool MayPreventAcceptance(FaultKind kind) {
    return kind == FaultKind::kSameWriter || kind == FaultKind::kOutage ||
           kind == FaultKind::kLostOutage || kind == FaultKind::kDeadline;
  }

  static void Check(const std::vector<Fault>& faults, const InitialState& initial, int steps) {
    const FaultSession session(faults, initial.has_head, initial.node_has_config);
    const std::string description = Describe(faults);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(description, std::string(), session.violations());
    const bool must_accept = std::none_of(faults.begin(), faults.end(), [](const Fault& it) {
      return MayPreventAcceptance(it.kind);
    });
    const std::string status = ToString(session.outcome().status);
    if (must_accept) CPPUNIT_ASSERT_EQUAL_MESSAGE(description, std::string("accepted"), status);
    if (faults.size() > 1 || must_accept) return;
    const bool same = faults[0].kind == FaultKind::kSameWriter;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(description, std::string(same ? "conflict" : "unknown"), status);
    const bool lost_head = faults[0].step == steps - 1 && !same;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(description, lost_head, session.outcome().may_take_effect);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

}  // namespace
}  // namespace camphorhoist
