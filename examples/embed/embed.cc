// Example of embedding libconfig, libmember and libcall through their public headers only: accepts
// a change set into an object store, matches a request to a route of the accepted configuration and
// picks an upstream.

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "camphorhoist/acceptance.h"
#include "camphorhoist/balancer.h"
#include "camphorhoist/change_set.h"
#include "camphorhoist/endpoint_table.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"
#include "camphorhoist/snapshot.h"

namespace {

using camphorhoist::Acceptance;
using camphorhoist::AcceptEffect;
using camphorhoist::AcceptOutcome;
using camphorhoist::AcceptStatus;
using camphorhoist::Balancer;
using camphorhoist::BalancerCandidate;
using camphorhoist::CallEndpoint;
using camphorhoist::CallTime;
using camphorhoist::Change;
using camphorhoist::ChangeSet;
using camphorhoist::EndpointChanged;
using camphorhoist::EndpointState;
using camphorhoist::EndpointTable;
using camphorhoist::Findings;
using camphorhoist::NetAddress;
using camphorhoist::Record;
using camphorhoist::Snapshot;

constexpr char kRecords[] = R"([
  {"schema": 1, "kind": "service", "name": "inventory", "timeout_ms": 800},
  {"schema": 2, "kind": "route", "name": "inventory", "match": {"path_prefix": "/inventory"},
   "destinations": [{"service": "inventory", "weight": 1}]}
])";
constexpr char kRouteToMissingService[] = R"([
  {"schema": 2, "kind": "route", "name": "lost", "match": {"path_prefix": "/lost"},
   "destinations": [{"service": "no-such-service", "weight": 1}]}
])";

/// In-memory object store with conditional writes, like the platform's object store.
class MapStore {
 public:
  camphorhoist::ReadResult Read(const std::string& key) const {
    const auto it = objects_.find(key);
    if (it == objects_.end()) return camphorhoist::ObjectNotFound{};
    return it->second;
  }

  camphorhoist::WriteResult Write(const camphorhoist::WriteObject& write) {
    const auto it = objects_.find(write.key);
    const uint64_t current = it == objects_.end() ? 0 : it->second.version;
    if (write.expected_version.value_or(0) != current) return camphorhoist::WriteConflict{};
    objects_[write.key] = {++last_version_, write.body};
    return camphorhoist::WriteDone{last_version_};
  }

 private:
  std::map<std::string, camphorhoist::ObjectFound> objects_;
  uint64_t last_version_ = 0;
};

/// Executes the effects that an acceptance requests until it returns an outcome.
AcceptOutcome RunAcceptance(Acceptance* acceptance, MapStore* store) {
  AcceptEffect effect = acceptance->Start();
  while (true) {
    if (const auto* read = std::get_if<camphorhoist::ReadObject>(&effect)) {
      effect = acceptance->OnRead(store->Read(read->key));
    } else if (const auto* write = std::get_if<camphorhoist::WriteObject>(&effect)) {
      effect = acceptance->OnWrite(store->Write(*write));
    } else {
      return std::get<AcceptOutcome>(effect);
    }
  }
}

/// Applies the records in `text` as a change set and returns the configuration in force after it.
Snapshot::Ptr Apply(const std::string& id, const std::string& text, Snapshot::Ptr base,
                    MapStore* store) {
  Findings findings;
  ChangeSet change_set;
  change_set.id = id;
  for (const Record& it : ParseRecords(text, id, &findings)) {
    change_set.changes.push_back(Change::UnconditionalUpsert(it));
  }
  if (!findings.empty()) {
    std::cout << findings.ToString() << "\n";
    return base;
  }
  Acceptance acceptance(std::move(change_set), base, camphorhoist::kMaxSchema);
  const AcceptOutcome outcome = RunAcceptance(&acceptance, store);
  std::cout << id << ": " << ToString(outcome.status) << " at " << outcome.version.ToString()
            << "\n";
  if (!outcome.findings.empty()) std::cout << outcome.findings.ToString() << "\n";
  const bool accepted = outcome.status == AcceptStatus::kAccepted;
  return accepted && acceptance.accepted_snapshot() ? acceptance.accepted_snapshot() : base;
}

/// Returns the event with which membership reports a member that has one serving upstream.
EndpointChanged MemberEvent(const std::string& ip, const std::string& data_centre) {
  EndpointChanged event;
  event.entry.address = NetAddress(ip, 7000);
  event.entry.data_centre = data_centre;
  event.entry.region = "r1";
  event.entry.incarnation = 1;
  event.entry.endpoints = {{"inventory", NetAddress(ip, 8080), 6, EndpointState::kServing}};
  return event;
}

std::vector<BalancerCandidate> MakeCandidates(const EndpointTable& table,
                                              const std::string& service) {
  std::vector<BalancerCandidate> candidates;
  for (const camphorhoist::EndpointRef& it : *table.Find(service)) {
    BalancerCandidate candidate;
    candidate.endpoint = {service, it.info.upstream, it.node, it.incarnation};
    candidate.tier = it.tier;
    candidate.slots = it.info.slots;
    candidates.push_back(candidate);
  }
  return candidates;
}

void PrintRouting(const Snapshot& snapshot, const EndpointTable& table, const std::string& path) {
  const auto match = snapshot.MatchRoute("GET", "", path);
  if (!match) {
    std::cout << path << ": no route\n";
    return;
  }
  const std::string& service = match->destinations().front().service;
  std::cout << path << ": route " << match->route->name() << ", service " << service << ", "
            << match->timeout_ms() << " ms, "
            << (match->idempotent ? "idempotent" : "not idempotent") << "\n";
  Balancer balancer;
  balancer.SetCandidates(MakeCandidates(table, service));
  std::mt19937_64 rng(1);
  const CallTime now{std::chrono::hours(1)};
  std::vector<CallEndpoint> tried;
  while (const auto upstream = balancer.Pick(service, now, rng, tried)) {
    std::cout << "upstream " << upstream->upstream.ToString() << " through node "
              << upstream->node.ToString() << "\n";
    tried.push_back(*upstream);
  }
}

}  // namespace

int main() {
  MapStore store;
  Snapshot::Ptr snapshot = Apply("first", kRecords, Snapshot::Empty(), &store);
  snapshot = Apply("faulty", kRouteToMissingService, snapshot, &store);
  std::cout << "in force: " << snapshot->version().ToString() << ", " << snapshot->record_count()
            << " records\n";
  EndpointTable table("dc1", "r1");
  table.Apply(MemberEvent("10.0.0.1", "dc1"));
  table.Apply(MemberEvent("10.0.1.1", "dc2"));
  PrintRouting(*snapshot, table, "/inventory/7");
  PrintRouting(*snapshot, table, "/nowhere");
  return 0;
}
