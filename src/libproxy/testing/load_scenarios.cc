#include "libproxy/testing/load_scenarios.h"

#include <cmath>
#include <iterator>
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

ReplayScenario NestedCallsBetweenServices(double demand) {
  constexpr size_t kServers[] = {28, 19, 41};
  const std::vector<double> speeds[] = {
      {0.55, 1.2, 1.2, 1.2}, {0.5, 1.0, 1.0, 1.5}, {0.7, 0.7, 1.6}};
  ReplayScenario scenario;
  scenario.seconds = 20;
  scenario.senders_per_data_centre = 29;
  for (size_t service = 0; service < std::size(kServers); ++service) {
    for (size_t i = 0; i < kServers[service]; ++i) {
      ReplayServer server;
      server.service = service;
      server.slots = 12;
      server.data_centre = scenario.data_centres[i % scenario.data_centres.size()];
      const double slowdown = 1 / speeds[service][i % speeds[service].size()];
      server.slowdown = [slowdown](double) { return slowdown; };
      scenario.servers.push_back(server);
    }
  }
  const auto add = [&scenario, demand](size_t service, double per_second, double work_ms,
                                       double sigma, double objective_ms, double deadline_ms) {
    ReplayClass cls;
    cls.service = service;
    cls.calls_per_second = demand * per_second;
    cls.work_ms = work_ms;
    cls.sigma = sigma;
    cls.straggler_share = 0.01;
    cls.straggler_factor = 5;
    cls.objective_ms = objective_ms;
    cls.deadline_ms = deadline_ms;
    cls.late_credit = 0.1;
    scenario.classes.push_back(cls);
  };
  add(0, 925, 200, 0.8, 500, 1500);
  add(1, 357, 260, 0.3, 800, 1200);
  add(2, 390, 500, 0.8, 1500, 2500);
  add(2, 156, 800, 0.3, 4000, 3000);
  add(1, 0, 50, 0.5, 200, 600);
  add(2, 0, 50, 0.5, 200, 600);
  for (size_t i = 0; i < scenario.classes.size(); ++i) {
    scenario.classes[i].priority = static_cast<int>(i);
  }
  for (size_t i = 4; i < scenario.classes.size(); ++i) scenario.classes[i].straggler_share = 0;
  scenario.classes[0].nested_calls = ReplayNestedCalls{4, 2, 0.7};
  scenario.classes[1].nested_calls = ReplayNestedCalls{5, 2, 0.7};
  scenario.demand_factor = [](size_t data_centre, double t) {
    constexpr double kPhases[] = {0.41, 0.88, 0.54};
    return 1 + 0.15 * std::sin(2 * kPi * (t / 11 + kPhases[data_centre]));
  };
  return scenario;
}

ReplayScenario UnevenFleet(size_t vms, double load) {
  constexpr double kSpeeds[] = {0.6, 1.0, 1.4};
  constexpr double kSlowedShare = 0.15;
  constexpr double kSlowedFactor = 2.5;
  ReplayScenario scenario;
  scenario.data_centres = {"a", "b", "c", "d"};
  scenario.senders_per_data_centre = vms / 4;
  scenario.cross_data_centre_delay_ms = 2.6;
  scenario.report_delay_ms = 100;
  const size_t servers = vms / 12 * 4 + (vms < 24 ? 4 : 0);
  double calls_per_ms = 0;
  constexpr double kMeanWorkMs = 1.18 * (0.8 * 76 + 0.2 * 100);  // 3% take seven times as long.
  for (size_t i = 0; i < servers; ++i) {
    ReplayServer server;
    server.data_centre = scenario.data_centres[i % 4];
    server.speed = kSpeeds[i % 3];
    server.slowdown =
        NoisyNeighbourSlowdown(1 / server.speed, kSlowedShare, kSlowedFactor, 0.6, i + 7);
    calls_per_ms +=
        server.slots * server.speed / (1 + kSlowedShare * (kSlowedFactor - 1)) / kMeanWorkMs;
    scenario.servers.push_back(server);
  }
  const double calls_per_second = load * calls_per_ms * 1000;
  scenario.classes = {LookupClass(0.8 * calls_per_second), OrderClass(0.2 * calls_per_second)};
  scenario.classes[1].response_bytes = 20000;
  scenario.demand_factor = [](size_t data_centre, double t) {
    return 1 + 0.55 * std::sin(2 * kPi * (t / 15 + 0.25 * static_cast<double>(data_centre)));
  };
  return scenario;
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

  all.push_back({"nested calls, ordinary load", NestedCallsBetweenServices(1)});
  ReplayScenario nested_surge = NestedCallsBetweenServices(1);
  AddSurge(1.8, 6, 11, &nested_surge);
  all.push_back({"nested calls, surge", nested_surge});
  return all;
}

}  // namespace camphorhoist
