#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "libcall/testing/fake_mesh.h"
#include "testing/matrix_sampler.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kSingleSeeds = 6;
constexpr uint64_t kPairSeeds = 2;
/// A response whose head arrives just before the deadline may still stall until the idle timeout.
constexpr milliseconds kReplyLimit =
    FakeMesh::kTimeout + CallCoordinator::kStreamIdleTimeout + milliseconds(1);

Findings Check(const Trace& trace) {
  Findings findings;
  CheckRunsAtMostOnce(trace, &findings);
  CheckNotRunReports(trace, &findings);
  CheckResponsesComplete(trace, &MeshResponse, &findings);
  CheckOneReplyInTime(trace, kReplyLimit, &findings);
  CheckDrainingUpstreamGetsNoWork(trace, CallDuration::zero(), &findings);
  return findings;
}

std::string ScenarioName(const MeshScenario& scenario) {
  std::ostringstream text;
  text << (scenario.idempotent ? "idempotent" : "non-idempotent")
       << (scenario.slow_first ? " slow-first" : "") << " depth " << scenario.depth << " seed "
       << scenario.seed;
  for (const Injection& it : scenario.injections) {
    text << " " << ToText(it.fault) << "@" << ToText(it.step) << "#" << it.nth;
  }
  return text.str();
}

std::string TraceText(const Trace& trace) {
  static const char* const kKindTexts[] = {"call",  "run",     "ran",   "part",
                                           "reply", "abandon", "drain", ""};
  std::ostringstream text;
  for (const TraceEvent& it : trace) {
    const auto at = it.at.time_since_epoch() - std::chrono::hours(1);
    text << std::chrono::duration_cast<std::chrono::microseconds>(at).count() << " call "
         << it.call;
    if (it.attempt.counter() > 0) text << " attempt " << it.attempt.counter();
    text << " " << kKindTexts[static_cast<int>(it.kind)] << (it.upstream.empty() ? "" : " ")
         << it.upstream << (it.text.empty() ? "" : " ") << it.text << "\n";
  }
  return text.str();
}

class FaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultMatrixTest);
  CPPUNIT_TEST(WithoutFaultsAllAreAnswered);
  CPPUNIT_TEST(EachFaultAtEachStep);
  CPPUNIT_TEST(PairsOfFaults);
  CPPUNIT_TEST(AbandonedCallsAtEachFault);
  CPPUNIT_TEST(SessionsMatchGoldenFile);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a fault matrix that passes because no call is ever answered.
  void WithoutFaultsAllAreAnswered() {
    for (const bool idempotent : {false, true}) {
      MeshScenario scenario;
      scenario.idempotent = idempotent;
      FakeMesh mesh(scenario);
      const Trace& trace = mesh.Run();
      CPPUNIT_ASSERT_EQUAL(std::string(), Check(trace).ToString());
      int answered = 0;
      for (const TraceEvent& it : trace) {
        const bool reply = it.kind == TraceKind::kReplied;
        if (reply && it.outcome == Outcome::kAnswered) ++answered;
      }
      CPPUNIT_ASSERT_EQUAL(scenario.calls, answered);
    }
  }

  // Checks P4 to P7 (see trace_check.h) with every single fault at every protocol step.
  void EachFaultAtEachStep() {
    for (uint64_t seed = 1; seed <= kSingleSeeds; ++seed) {
      ForEachBase(seed, [this](MeshScenario base) {
        ForEachInjection(base.seed, [&](const Injection& it) {
          base.injections = {it};
          RunScenario(base);
        });
      });
    }
    Report("single faults");
  }

  // Checks P4 to P7 with every pair of faults in one session.
  void PairsOfFaults() {
    MatrixSampler sampler;
    for (uint64_t seed = 1; seed <= kPairSeeds; ++seed) {
      ForEachBase(seed, [this, &sampler](MeshScenario base) {
        ForEachInjection(base.seed, [&](const Injection& first) {
          ForEachInjection(base.seed / 2, [&](const Injection& second) {
            if (!sampler.SelectsNext()) return;
            base.injections = {first, second};
            RunScenario(base);
          });
        });
      });
    }
    Report("pairs of faults");
  }

  // Guards against retries for a caller that has closed its connection during the call.
  void AbandonedCallsAtEachFault() {
    for (uint64_t seed = 1; seed <= kSingleSeeds; ++seed) {
      ForEachBase(seed, [this](MeshScenario base) {
        base.abandon_call = 1;
        ForEachInjection(base.seed, [&](const Injection& it) {
          base.injections = {it};
          RunScenario(base);
        });
      });
    }
    Report("abandoned calls");
  }

  // Guards against unintended changes of complete sessions. UPDATE_GOLDEN=1 rewrites the file.
  void SessionsMatchGoldenFile() {
    const std::string path = std::string(CAMPHORHOIST_SOURCE_DIR) + "/testdata/sessions.golden";
    std::string sessions;
    for (const Injection& it :
         {Injection{Fault::kSilent, Step::kCall, 0}, Injection{Fault::kLost, Step::kEnd, 0},
          Injection{Fault::kDrain, Step::kHead, 0}, Injection{Fault::kRestart, Step::kCall, 1}}) {
      for (const bool idempotent : {false, true}) {
        MeshScenario scenario;
        scenario.idempotent = idempotent;
        scenario.injections = {it};
        FakeMesh mesh(scenario);
        sessions += "# " + ScenarioName(scenario) + "\n" + TraceText(mesh.Run());
      }
    }
    if (std::getenv("UPDATE_GOLDEN") != nullptr) std::ofstream(path) << sessions;
    std::ifstream file(path);
    std::stringstream golden;
    golden << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL(golden.str(), sessions);
  }

 private:
  template <typename Visit>
  static void ForEachBase(uint64_t seed, const Visit& visit) {
    for (const bool idempotent : {false, true}) {
      for (const bool slow_first : {false, true}) {
        MeshScenario base;
        base.seed = seed;
        base.idempotent = idempotent;
        base.slow_first = slow_first;
        // In every third seed the calls are nested below another call and must not be retried.
        base.depth = seed % 3 == 0 ? 1 : 0;
        visit(base);
      }
    }
  }

  template <typename Visit>
  static void ForEachInjection(uint64_t seed, const Visit& visit) {
    for (int fault = 0; fault < kFaults; ++fault) {
      for (int step = 0; step < kSteps; ++step) {
        visit({static_cast<Fault>(fault), static_cast<Step>(step), static_cast<int>(seed % 2)});
      }
    }
  }

  void RunScenario(const MeshScenario& scenario) {
    FakeMesh mesh(scenario);
    const Trace& trace = RunOrFail(&mesh, scenario);
    ++runs_;
    std::string cell = scenario.idempotent ? "idempotent" : "non-idempotent";
    for (const Injection& it : scenario.injections) {
      cell += std::string(" ") + ToText(it.fault) + "@" + ToText(it.step);
    }
    bool& injected = cells_[cell];
    injected = injected || mesh.all_injected();
    for (const TraceEvent& it : trace) {
      if (it.kind == TraceKind::kReplied) ++outcomes_[it.outcome];
    }
    const Findings findings = Check(trace);
    const std::string message =
        ScenarioName(scenario) + "\n" + findings.ToString() + "\n" + TraceText(trace);
    CPPUNIT_ASSERT_MESSAGE(message, findings.empty());
  }

  static const Trace& RunOrFail(FakeMesh* mesh, const MeshScenario& scenario) {
    try {
      return mesh->Run();
    } catch (const std::exception& error) {
      CPPUNIT_FAIL(ScenarioName(scenario) + ": " + error.what());
    }
  }

  void Report(const std::string& title) {
    size_t not_injected = 0;
    for (const auto& it : cells_) {
      if (it.second) continue;
      ++not_injected;
      // Pairs of faults that were not injected contain an unreached step; they are only counted.
      if (it.first.find('@') == it.first.rfind('@')) std::cout << "\n  not injected: " << it.first;
    }
    std::cout << "\n  " << title << ": " << runs_ << " runs, " << cells_.size() << " cells, "
              << not_injected << " not injected; answered " << outcomes_[Outcome::kAnswered]
              << ", not run " << outcomes_[Outcome::kNotRun] << ", unknown "
              << outcomes_[Outcome::kUnknown] << std::endl;
    // The matrix is meaningless if most faults never meet their message.
    CPPUNIT_ASSERT(not_injected * 2 < cells_.size());
  }

  int runs_ = 0;
  std::map<std::string, bool> cells_;
  std::map<Outcome, int> outcomes_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

}  // namespace
}  // namespace camphorhoist
