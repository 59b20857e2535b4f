#include "libproxy/testing/load_scenarios.h"

#include <cmath>
#include <utility>

namespace camphorhoist {

namespace {

constexpr double kPi = 3.14159265358979;

ReplayClass Lookup(double per_second) {
  ReplayClass cls;
  cls.per_second = per_second;
  cls.work_ms = 76;
  cls.objective_ms = 300;
  cls.deadline_ms = 1200;
  cls.priority = 2;
  return cls;
}

ReplayClass Order(double per_second) {
  ReplayClass cls;
  cls.per_second = per_second;
  cls.work_ms = 100;
  cls.spread = 0.8;
  cls.objective_ms = 400;
  cls.deadline_ms = 1500;
  cls.priority = 1;
  return cls;
}

}  // namespace

ReplayScenario UnevenServers() {
  ReplayScenario scenario;
  const double speeds[] = {0.55, 1.2, 1.2, 1.2};
  const char* zones[] = {"a", "a", "b", "c"};
  for (int i = 0; i < 4; ++i) {
    ReplayServer server;
    server.zone = zones[i];
    server.slowness = NoisySlowness(1 / speeds[i], 0.15, 2.5, 0.6, static_cast<uint64_t>(i) + 7);
    scenario.servers.push_back(server);
  }
  return scenario;
}

void AddWaves(double swing, double period_s, ReplayScenario* scenario) {
  const auto before = scenario->demand;
  scenario->demand = [=](size_t zone, double t) {
    const double phase = 0.1 + 0.08 * static_cast<double>(zone);
    return before(zone, t) * (1 + swing * std::sin(2 * kPi * (t / period_s + phase)));
  };
}

void AddSurge(double factor, double from, double to, ReplayScenario* scenario) {
  const auto before = scenario->demand;
  scenario->demand = [=](size_t zone, double t) {
    return before(zone, t) * (t >= from && t < to ? factor : 1.0);
  };
}

std::vector<NamedScenario> AllScenarios() {
  std::vector<NamedScenario> all;
  ReplayScenario calm = UnevenServers();
  calm.classes = {Lookup(90), Order(10)};
  AddWaves(0.55, 15, &calm);
  all.push_back({"calm waves", calm});

  ReplayScenario crest = UnevenServers();
  crest.classes = {Lookup(200), Order(25)};
  AddWaves(0.55, 15, &crest);
  all.push_back({"waves above capacity", crest});

  ReplayScenario surge = crest;
  AddSurge(1.7, 8, 13, &surge);
  all.push_back({"surge on waves", surge});

  ReplayScenario slow = UnevenServers();
  slow.classes = {Lookup(120), Order(15)};
  slow.servers[1].slowness = [before = slow.servers[1].slowness](double t) {
    return before(t) * (t > 8 && t < 17 ? 8.0 : 1.0);
  };
  AddWaves(0.55, 15, &slow);
  all.push_back({"one server slow", slow});

  ReplayScenario abuse = crest;
  abuse.abusive_share = 0.3;
  all.push_back({"callers that return at once", abuse});

  ReplayScenario strict = crest;
  for (ReplayClass& it : strict.classes) {
    it.late_credit = 0.1;
    it.late_refusal_price = 0.1;
  }
  all.push_back({"little credit when late", strict});

  ReplayScenario fleet = UnevenServers();
  fleet.servers.clear();
  for (int i = 0; i < 36; ++i) {
    const double speeds[] = {0.55, 1.2, 1.2, 1.2};
    const char* zones[] = {"a", "b", "c"};
    ReplayServer server;
    server.zone = zones[i % 3];
    server.slots = 5;
    server.slowness =
        NoisySlowness(1 / speeds[i % 4], 0.15, 2.5, 0.6, static_cast<uint64_t>(i) + 7);
    fleet.servers.push_back(server);
  }
  fleet.senders_per_zone = 25;
  fleet.classes = {Lookup(1500), Order(190)};
  AddWaves(0.55, 15, &fleet);
  all.push_back({"fleet, waves above capacity", fleet});
  return all;
}

}  // namespace camphorhoist
