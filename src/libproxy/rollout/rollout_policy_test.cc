#include "camphorhoist/rollout_policy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace camphorhoist {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ProxyTime kStart = ProxyTime() + std::chrono::hours(1);
constexpr uint64_t kRoutes = 4;

/// What one request to one version does.
struct Outcome {
  double failure_share = 0;
  double slowdown = 1;
};

struct Scenario {
  double requests_per_second = 200;
  seconds period{60};
  int servers = 6;
  /// `load`: requests per second of the server, relative to those of one server after the
  /// roll-out.
  std::function<Outcome(double elapsed_s, uint64_t route, double load)> target;
  std::function<Outcome(double elapsed_s, uint64_t route)> control;
  /// Time at which the writer terminates and another sidecar starts with an empty policy.
  std::optional<seconds> writer_dies_at;
  /// The first server of the target version does not answer from then on.
  std::optional<seconds> one_hangs_at;
  unsigned seed = 1;
};

/// One roll-out of a service with `servers` servers of each version. Servers report every 500 ms,
/// and senders learn of a decision after 300 ms.
class Replay {
 public:
  explicit Replay(Scenario scenario) : scenario_(std::move(scenario)), rng_(scenario_.seed) {
    for (int i = 0; i < 2 * scenario_.servers; ++i) {
      ServerCounts counts;
      counts.version = i < scenario_.servers ? "new" : "old";
      counts_.push_back(counts);
    }
    policy_ = NewPolicy(kStart);
  }

  void Run() {
    constexpr milliseconds kStep{20};
    constexpr milliseconds kReport{500};
    constexpr milliseconds kSenderDelay{300};
    std::vector<std::pair<ProxyTime, RolloutDecision>> decisions;
    RolloutDecision current;
    current.share = RolloutPolicy::kSmallestShare;
    current.servers = RolloutPolicy::kMinServers;
    ProxyTime valid_until = ProxyTime::max();
    std::optional<ProxyTime> fiftieth_bad;
    for (ProxyTime now = kStart; now < kStart + scenario_.period; now += kStep) {
      if (scenario_.writer_dies_at && now == kStart + *scenario_.writer_dies_at) {
        policy_ = NewPolicy(now);
      }
      if (now >= valid_until) current.share = RolloutPolicy::kSmallestShare;
      while (!decisions.empty() && decisions.front().first <= now) {
        current = decisions.front().second;
        valid_until = ProxyTime::max();
        if (current.valid_for.count() > 0) valid_until = now + current.valid_for;
        decisions.erase(decisions.begin());
      }
      const double mean = scenario_.requests_per_second * Elapsed(kStep);
      // The distribution requires a mean above 0.
      const int arrivals = mean > 0 ? std::poisson_distribution<int>(mean)(rng_) : 0;
      for (int i = 0; i < arrivals; ++i) {
        ++requests;
        const bool to_target = Uniform() < current.share;
        if (to_target && !completed_at) ++exposed;
        Send(now, to_target, current);
        if (bad >= 50 && !fiftieth_bad) fiftieth_bad = now;
        if (to_target && fiftieth_bad && !completed_at) last_after_bad = now - *fiftieth_bad;
      }
      if ((now - kStart) % kReport != milliseconds(0)) continue;
      for (size_t i = 0; i < counts_.size(); ++i) {
        policy_->OnCounts(now, "node-" + std::to_string(i), counts_[i]);
      }
      policy_->SetServers(static_cast<size_t>(scenario_.servers),
                          static_cast<size_t>(scenario_.servers));
      const RolloutDecision decision = policy_->Decide(now);
      decisions.emplace_back(now + kSenderDelay, decision);
      if (decision.verdict == RolloutVerdict::kNone || verdict != RolloutVerdict::kNone) continue;
      verdict = decision.verdict;
      reason = decision.reason;
      decided_at = now - kStart;
      if (verdict == RolloutVerdict::kGood) completed_at = now;
    }
  }

  /// Bound on the requests to the target version until the verdict.
  void CheckExposure() const {
    const std::string text = "exposed " + std::to_string(exposed) + " of " +
                             std::to_string(requests) + ", bad " + std::to_string(bad);
    CPPUNIT_ASSERT_MESSAGE(
        text, static_cast<double>(exposed) <= 0.1 * static_cast<double>(requests) + 50);
  }

  uint64_t requests = 0;
  uint64_t exposed = 0;
  /// Failed or slow responses of the target version before a verdict of good.
  uint64_t bad = 0;
  ProxyTime::duration last_after_bad{};
  RolloutVerdict verdict = RolloutVerdict::kNone;
  std::string reason;
  ProxyTime::duration decided_at{};
  std::optional<ProxyTime> completed_at;

 private:
  static double Elapsed(ProxyTime::duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

  std::unique_ptr<RolloutPolicy> NewPolicy(ProxyTime now) const {
    const RolloutOrder order{"s", "new", scenario_.period};
    return std::make_unique<RolloutPolicy>(order, RolloutBounds(), kStart, now);
  }

  void Send(ProxyTime now, bool to_target, const RolloutDecision& decision) {
    const auto servers = static_cast<size_t>(scenario_.servers);
    size_t count = servers;
    if (to_target && decision.servers > 0) count = std::min<size_t>(decision.servers, servers);
    const size_t index = rng_() % count + (to_target ? 0 : servers);
    const double elapsed = Elapsed(now - kStart);
    // The last route is rare.
    const double point = Uniform();
    const uint64_t route = point < 0.05 ? kRoutes - 1 : rng_() % (kRoutes - 1);
    Outcome outcome;
    if (to_target) {
      const double load =
          decision.share * static_cast<double>(servers) / static_cast<double>(count);
      if (scenario_.target) outcome = scenario_.target(elapsed, route, load);
    } else if (scenario_.control) {
      outcome = scenario_.control(elapsed, route);
    }
    const bool hangs =
        scenario_.one_hangs_at && index == 0 && elapsed >= Elapsed(*scenario_.one_hangs_at);
    if (hangs) outcome.failure_share = 1;
    ServerCounts& counts = counts_[index];
    ++counts.requests;
    const bool failed = Uniform() < outcome.failure_share;
    const double mean_us = 5000 * static_cast<double>(route + 1) * outcome.slowdown;
    const double time_us = std::lognormal_distribution<double>(std::log(mean_us), 0.6)(rng_);
    counts.AddResponse(route, failed, ProxyDuration(static_cast<int64_t>(time_us) + 1));
    if (to_target && !completed_at && (failed || outcome.slowdown > 2)) ++bad;
  }

  Scenario scenario_;
  std::mt19937_64 rng_;
  std::vector<ServerCounts> counts_;
  std::unique_ptr<RolloutPolicy> policy_;
};

class RolloutPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutPolicyTest);
  CPPUNIT_TEST(GoodVersionIsCompleted);
  CPPUNIT_TEST(GoodVersionIsCompletedAtLowLoad);
  CPPUNIT_TEST(GoodVersionIsCompletedWithoutTraffic);
  CPPUNIT_TEST(NothingIsCompletedWithoutServers);
  CPPUNIT_TEST(LateServersAreObserved);
  CPPUNIT_TEST(FailingVersionIsRolledBack);
  CPPUNIT_TEST(FailingVersionIsRolledBackAtLowLoad);
  CPPUNIT_TEST(SlowVersionIsRolledBack);
  CPPUNIT_TEST(VersionThatTurnsBadLaterIsRolledBack);
  CPPUNIT_TEST(VersionThatIsBadUnderLoadIsRolledBack);
  CPPUNIT_TEST(VersionThatIsBadOnOneRouteIsRolledBack);
  CPPUNIT_TEST(OverloadOfBothVersionsIsNoReason);
  CPPUNIT_TEST(HungServerIsNoReason);
  CPPUNIT_TEST(NextWriterContinues);
  CPPUNIT_TEST(RestartedCountsAreNotCountedTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a roll-out that misses its deadline, and against false alarms.
  void GoodVersionIsCompleted() {
    for (const double rate : {20.0, 200.0, 1000.0}) {
      Scenario scenario;
      scenario.requests_per_second = rate;
      ExpectGood(scenario, 10);
    }
  }

  void GoodVersionIsCompletedAtLowLoad() {
    for (const double rate : {0.2, 1.0, 4.0}) {
      Scenario scenario;
      scenario.requests_per_second = rate;
      ExpectGood(scenario, 20);
      scenario.servers = 1;
      ExpectGood(scenario, 20);
    }
  }

  void GoodVersionIsCompletedWithoutTraffic() {
    Scenario scenario;
    scenario.requests_per_second = 0;
    ExpectGood(scenario, 1);
  }

  // Guards against sending all traffic to a version that cannot serve it.
  void NothingIsCompletedWithoutServers() {
    RolloutPolicy policy({"s", "new", seconds(60)}, {}, kStart, kStart);
    policy.SetServers(0, 6);
    const RolloutDecision decision = policy.Decide(kStart + seconds(120));
    CPPUNIT_ASSERT(decision.verdict == RolloutVerdict::kNone);
  }

  // Guards against a version that is completed without a request because its servers start late.
  void LateServersAreObserved() {
    RolloutPolicy policy({"s", "new", seconds(60)}, {}, kStart, kStart);
    policy.SetServers(0, 6);
    for (int i = 0; i <= 50; ++i) policy.Decide(kStart + seconds(i));
    policy.SetServers(6, 6);
    for (int i = 51; i <= 61; ++i) {
      CPPUNIT_ASSERT(policy.Decide(kStart + seconds(i)).verdict == RolloutVerdict::kNone);
    }
    CPPUNIT_ASSERT(policy.Decide(kStart + seconds(62)).verdict == RolloutVerdict::kGood);
  }

  void FailingVersionIsRolledBack() {
    for (const double rate : {20.0, 200.0, 1000.0}) {
      Scenario scenario;
      scenario.requests_per_second = rate;
      scenario.target = [](double, uint64_t, double) { return Outcome{0.3, 1}; };
      scenario.control = [](double, uint64_t) { return Outcome{0.01, 1}; };
      ExpectBad(scenario, "failures");
    }
  }

  // Guards against a wait for a number of samples that low load does not provide in time.
  void FailingVersionIsRolledBackAtLowLoad() {
    Scenario scenario;
    scenario.requests_per_second = 3;
    scenario.target = [](double, uint64_t, double) { return Outcome{0.3, 1}; };
    ExpectBad(scenario, "failures");
    scenario.servers = 1;
    ExpectBad(scenario, "failures");
  }

  void SlowVersionIsRolledBack() {
    for (const double rate : {5.0, 200.0, 1000.0}) {
      Scenario scenario;
      scenario.requests_per_second = rate;
      scenario.target = [](double, uint64_t, double) { return Outcome{0, 4}; };
      ExpectBad(scenario, "slow");
    }
  }

  // Guards against a comparison of totals, in which the earlier good responses hide the later ones.
  void VersionThatTurnsBadLaterIsRolledBack() {
    for (const int bad_from : {10, 30, 44}) {
      Scenario scenario;
      scenario.target = [bad_from](double elapsed, uint64_t, double) {
        return Outcome{elapsed < bad_from ? 0 : 0.3, 1};
      };
      ExpectBad(scenario, "failures");
      scenario.target = [bad_from](double elapsed, uint64_t, double) {
        return Outcome{0, elapsed < bad_from ? 1.0 : 4.0};
      };
      ExpectBad(scenario, "slow");
    }
  }

  // Guards against a canary whose servers are nearly idle.
  void VersionThatIsBadUnderLoadIsRolledBack() {
    for (const int servers : {2, 6, 12, 36}) {
      Scenario scenario;
      scenario.servers = servers;
      scenario.target = [](double, uint64_t, double load) {
        return Outcome{load > 0.7 ? 0.3 : 0, 1};
      };
      ExpectBad(scenario, "failures");
    }
  }

  // Guards against a comparison of all routes together: one in twenty requests is of the bad route.
  void VersionThatIsBadOnOneRouteIsRolledBack() {
    Scenario scenario;
    scenario.target = [](double, uint64_t route, double) {
      return Outcome{route == kRoutes - 1 ? 0.3 : 0, 1};
    };
    ExpectBad(scenario, "failures");
    scenario.target = [](double, uint64_t route, double) {
      return Outcome{0, route == kRoutes - 1 ? 4.0 : 1.0};
    };
    ExpectBad(scenario, "slow");
  }

  // Guards against a roll-back because of a time in which all servers fail or are slow, in
  // particular while the target version has a larger share than before.
  void OverloadOfBothVersionsIsNoReason() {
    Scenario scenario;
    const auto overload = [](double elapsed) {
      const bool overloaded = elapsed > 20 && elapsed < 35;
      return Outcome{overloaded ? 0.4 : 0, overloaded ? 5.0 : 1.0};
    };
    scenario.target = [overload](double elapsed, uint64_t, double) { return overload(elapsed); };
    scenario.control = [overload](double elapsed, uint64_t) { return overload(elapsed); };
    ExpectGood(scenario, 20);
  }

  // Guards against a roll-back because of a fault of one VM.
  void HungServerIsNoReason() {
    Scenario scenario;
    scenario.one_hangs_at = seconds(25);
    ExpectGood(scenario, 10);
  }

  // Guards against a new writer that starts again with the counts, or that does not know yet what
  // the target version has got.
  void NextWriterContinues() {
    for (const int dies_at : {1, 10, 30, 45}) {
      Scenario scenario;
      scenario.writer_dies_at = seconds(dies_at);
      ExpectGood(scenario, 5);
      scenario.target = [](double elapsed, uint64_t, double) {
        return Outcome{elapsed < 5 ? 0 : 0.3, 1};
      };
      ExpectBad(scenario, "failures");
      scenario.target = [dies_at](double elapsed, uint64_t, double) {
        return Outcome{elapsed < dies_at - 1 ? 0 : 0.3, 1};
      };
      ExpectBad(scenario, "failures");
    }
  }

  void RestartedCountsAreNotCountedTwice() {
    RolloutPolicy policy({"s", "new", seconds(60)}, {}, kStart, kStart);
    ServerCounts counts;
    counts.version = "new";
    counts.requests = 10;
    policy.OnCounts(kStart, "a", counts);
    policy.OnCounts(kStart, "a", counts);
    CPPUNIT_ASSERT_EQUAL(uint64_t{10}, policy.exposed());
    counts.generation = 1;
    counts.requests = 3;
    policy.OnCounts(kStart, "a", counts);
    CPPUNIT_ASSERT_EQUAL(uint64_t{13}, policy.exposed());
    counts.version = "old";
    counts.generation = 2;
    policy.OnCounts(kStart, "a", counts);
    CPPUNIT_ASSERT_EQUAL(uint64_t{13}, policy.exposed());
    CPPUNIT_ASSERT_EQUAL(uint64_t{16}, policy.requests());
  }

 private:
  static void ExpectGood(Scenario scenario, unsigned seeds) {
    for (unsigned seed = 1; seed <= seeds; ++seed) {
      scenario.seed = seed;
      Replay replay(scenario);
      replay.Run();
      const std::string text = Describe(scenario, replay);
      CPPUNIT_ASSERT_MESSAGE(text, replay.verdict == RolloutVerdict::kGood);
      // Time to shift the traffic and to write the result.
      CPPUNIT_ASSERT_MESSAGE(text, replay.decided_at <= scenario.period - seconds(4));
      replay.CheckExposure();
    }
  }
  static void ExpectBad(Scenario scenario, const std::string& reason) {
    constexpr unsigned kSeeds = 20;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      scenario.seed = seed;
      Replay replay(scenario);
      replay.Run();
      const std::string text = Describe(scenario, replay);
      CPPUNIT_ASSERT_MESSAGE(text, replay.verdict == RolloutVerdict::kBad);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, reason, replay.reason);
      CPPUNIT_ASSERT_MESSAGE(text, replay.last_after_bad <= seconds(5));
      replay.CheckExposure();
    }
  }
  static std::string Describe(const Scenario& scenario, const Replay& replay) {
    return "rate " + std::to_string(scenario.requests_per_second) + ", servers " +
           std::to_string(scenario.servers) + ", seed " + std::to_string(scenario.seed) +
           ", verdict " + std::to_string(static_cast<int>(replay.verdict)) + " " + replay.reason +
           " after " + std::to_string(duration_cast<milliseconds>(replay.decided_at).count()) +
           " ms, exposed " + std::to_string(replay.exposed) + " of " +
           std::to_string(replay.requests) + ", bad " + std::to_string(replay.bad);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutPolicyTest);

}  // namespace
}  // namespace camphorhoist
