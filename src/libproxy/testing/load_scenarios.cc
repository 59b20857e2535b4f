#include "libproxy/testing/load_scenarios.h"

#include <cmath>
#include <utility>

namespace camphorhoist {

namespace {

constexpr double kPi = 3.14159265358979;

ReplayClass LookupClass(double calls_per_second) {
  ReplayClass cls;
  cls.calls_per_second = calls_per_second;
  cls.work_ms = 76;
  cls.objective_ms = 300;
  cls.deadline_ms = 1200;
  cls.priority = 2;
  return cls;
}

ReplayClass OrderClass(double calls_per_second) {
  ReplayClass cls;
  cls.calls_per_second = calls_per_second;
  cls.work_ms = 100;
  cls.sigma = 0.8;
  cls.objective_ms = 400;
  cls.deadline_ms = 1500;
  cls.priority = 1;
  return cls;
}

}  // namespace

ReplayScenario ServersOfUnevenSpeed() {
  ReplayScenario scenario;
  const double speeds[] = {0.55, 1.2, 1.2, 1.2};
  const char* data_centres[] = {"a", "a", "b", "c"};
  for (int i = 0; i < 4; ++i) {
    ReplayServer server;
    server.data_centre = data_centres[i];
    server.slowdown =
        NoisyNeighbourSlowdown(1 / speeds[i], 0.15, 2.5, 0.6, static_cast<uint64_t>(i) + 7);
    scenario.servers.push_back(server);
  }
  return scenario;
}

void AddPeriodicDemand(double amplitude, double period_s, ReplayScenario* scenario) {
  const auto base = scenario->demand_factor;
  scenario->demand_factor = [=](size_t data_centre, double t) {
    const double phase = 0.1 + 0.08 * static_cast<double>(data_centre);
    return base(data_centre, t) * (1 + amplitude * std::sin(2 * kPi * (t / period_s + phase)));
  };
}

void AddSurge(double factor, double from, double to, ReplayScenario* scenario) {
  const auto base = scenario->demand_factor;
  scenario->demand_factor = [=](size_t data_centre, double t) {
    return base(data_centre, t) * (t >= from && t < to ? factor : 1.0);
  };
}

std::vector<NamedScenario> AllScenarios() {
  std::vector<NamedScenario> all;
  ReplayScenario below_capacity = ServersOfUnevenSpeed();
  below_capacity.classes = {LookupClass(90), OrderClass(10)};
  AddPeriodicDemand(0.55, 15, &below_capacity);
  all.push_back({"calm waves", below_capacity});

  ReplayScenario overload = ServersOfUnevenSpeed();
  overload.classes = {LookupClass(200), OrderClass(25)};
  AddPeriodicDemand(0.55, 15, &overload);
  all.push_back({"waves above capacity", overload});

  ReplayScenario surge = overload;
  AddSurge(1.7, 8, 13, &surge);
  all.push_back({"surge on waves", surge});

  ReplayScenario one_slow_server = ServersOfUnevenSpeed();
  one_slow_server.classes = {LookupClass(120), OrderClass(15)};
  one_slow_server.servers[1].slowdown = [base = one_slow_server.servers[1].slowdown](double t) {
    return base(t) * (t > 8 && t < 17 ? 8.0 : 1.0);
  };
  AddPeriodicDemand(0.55, 15, &one_slow_server);
  all.push_back({"one server slow", one_slow_server});

  ReplayScenario abusive_callers = overload;
  abusive_callers.abusive_caller_share = 0.3;
  all.push_back({"callers that return at once", abusive_callers});

  ReplayScenario low_late_credit = overload;
  for (ReplayClass& it : low_late_credit.classes) {
    it.late_credit = 0.1;
    it.late_refusal_penalty = 0.1;
  }
  all.push_back({"little credit when late", low_late_credit});

  ReplayScenario fleet = ServersOfUnevenSpeed();
  fleet.servers.clear();
  for (int i = 0; i < 36; ++i) {
    const double speeds[] = {0.55, 1.2, 1.2, 1.2};
    const char* data_centres[] = {"a", "b", "c"};
    ReplayServer server;
    server.data_centre = data_centres[i % 3];
    server.slots = 5;
    server.slowdown =
        NoisyNeighbourSlowdown(1 / speeds[i % 4], 0.15, 2.5, 0.6, static_cast<uint64_t>(i) + 7);
    fleet.servers.push_back(server);
  }
  fleet.senders_per_data_centre = 25;
  fleet.classes = {LookupClass(1500), OrderClass(190)};
  AddPeriodicDemand(0.55, 15, &fleet);
  all.push_back({"fleet, waves above capacity", fleet});
  return all;
}

}  // namespace camphorhoist
