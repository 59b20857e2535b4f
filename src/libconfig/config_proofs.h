#ifndef CAMPHORHOIST_LIBCONFIG_CONFIG_PROOFS_H_
#define CAMPHORHOIST_LIBCONFIG_CONFIG_PROOFS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/change_set.h"
#include "camphorhoist/config_head.h"
#include "camphorhoist/config_version.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/snapshot.h"

namespace camphorhoist {

/// Record of what happened to the configuration in a test, in order, for the checkers below. Used
/// by tests of any layer: an observer is the platform, a replica or a whole node.
///
/// Thread safety: none; use from one thread.
class ConfigTrace {
 public:
  /// An observer had this configuration in force.
  struct InForce {
    std::string observer;
    Snapshot::Ptr snapshot;
  };
  /// An operator was told that the change set is in force as of this version.
  struct Accepted {
    ChangeSet change_set;
    ConfigVersion version;
  };

  void AddInForce(std::string observer, Snapshot::Ptr snapshot) {
    in_force_.push_back({std::move(observer), std::move(snapshot)});
  }
  void AddAccepted(ChangeSet change_set, const ConfigVersion& version) {
    accepted_.push_back({std::move(change_set), version});
  }
  /// A head that the platform held.
  void AddHead(ConfigHead head) { heads_.push_back(std::move(head)); }

  const std::vector<InForce>& in_force() const { return in_force_; }
  const std::vector<Accepted>& accepted() const { return accepted_; }
  const std::vector<ConfigHead>& heads() const { return heads_; }

 private:
  std::vector<InForce> in_force_;
  std::vector<Accepted> accepted_;
  std::vector<ConfigHead> heads_;
};

/// P1: no observer has a version below one that it had before.
inline void CheckVersionsNeverLower(const ConfigTrace& trace, Findings* findings) {
  std::map<std::string, ConfigVersion> highest;
  for (const ConfigTrace::InForce& it : trace.in_force()) {
    ConfigVersion& version = highest[it.observer];
    if (it.snapshot->version() < version) {
      findings->Add(it.observer, "moved from version " + version.ToString() + " to " +
                                     it.snapshot->version().ToString());
    }
    version = it.snapshot->version();
  }
}

/// P3: all observers of a version have the same whole configuration, and it is the one of the head.
inline void CheckNothingPartial(const ConfigTrace& trace, Findings* findings) {
  std::map<ConfigVersion, std::string> hashes;
  for (const ConfigTrace::InForce& it : trace.in_force()) {
    const auto [known, inserted] = hashes.emplace(it.snapshot->version(), it.snapshot->hash());
    if (known->second != it.snapshot->hash()) {
      findings->Add(it.observer,
                    "has another configuration of version " + it.snapshot->version().ToString());
    }
    for (const ConfigHead& head : trace.heads()) {
      if (head.version != it.snapshot->version()) continue;
      for (size_t n = 0; n < kPageCount; ++n) {
        if (head.pages[n] == it.snapshot->pages()[n]->hash()) continue;
        findings->Add(it.observer, "page " + std::to_string(n) + " of version " +
                                       head.version.ToString() + " is not that of the head");
      }
    }
  }
}

/// P2: each route points at services and endpoints of its own snapshot.
inline void CheckRoutesResolve(const Snapshot& snapshot, Findings* findings) {
  for (const Route& route : snapshot.routes()) {
    for (const Destination& it : route.destinations()) {
      const std::string place = "route " + route.name();
      if (snapshot.FindService(it.service) == nullptr) {
        findings->Add(place, "points at service " + it.service + ", which does not exist");
      }
      if (it.endpoint.empty()) continue;
      const EndpointSettings* endpoint = snapshot.FindEndpoint(it.endpoint);
      if (endpoint == nullptr || endpoint->service != it.service) {
        findings->Add(place,
                      "points at endpoint " + it.endpoint + ", which is not of " + it.service);
      }
    }
  }
}

/// P9: a change is in force at its version and stays until a later change of the same record.
class AcceptedCheck {
 public:
  explicit AcceptedCheck(const ConfigTrace& trace) : trace_(trace) {}

  void Run(Findings* findings) const {
    for (const ConfigTrace::Accepted& accepted : trace_.accepted()) {
      for (const ConfigTrace::InForce& it : trace_.in_force()) {
        if (it.snapshot->version() < accepted.version) continue;
        for (const Change& change : accepted.change_set.changes) {
          if (Holds(change, accepted.version, *it.snapshot)) continue;
          findings->Add(it.observer, "version " + it.snapshot->version().ToString() +
                                         " reverts the change of " + change.key().ToString() +
                                         " by " + accepted.change_set.id + ", accepted at " +
                                         accepted.version.ToString());
        }
      }
    }
  }

 private:
  bool Holds(const Change& change, const ConfigVersion& version, const Snapshot& snapshot) const {
    const StoredRecord* stored = snapshot.Find(change.key());
    if (stored != nullptr && stored->version > version.number()) return true;
    const bool same = stored != nullptr && change.record() && stored->record == *change.record() &&
                      stored->version == version.number();
    if (same) return true;
    if (stored != nullptr) return false;
    return !change.record() || RemovedLater(change.key(), version, snapshot.version());
  }

  bool RemovedLater(const RecordKey& key, const ConfigVersion& after,
                    const ConfigVersion& until) const {
    for (const ConfigTrace::Accepted& it : trace_.accepted()) {
      if (it.version <= after || it.version > until) continue;
      for (const Change& change : it.change_set.changes) {
        if (!change.record() && change.key() == key) return true;
      }
    }
    return false;
  }

  const ConfigTrace& trace_;
};

inline void CheckAcceptedNeverReverted(const ConfigTrace& trace, Findings* findings) {
  AcceptedCheck(trace).Run(findings);
}

/// A change set takes effect at most once: no head lists an id at two numbers.
inline void CheckAcceptedOnce(const ConfigTrace& trace, Findings* findings) {
  std::map<std::string, uint64_t> numbers;
  for (const ConfigHead& head : trace.heads()) {
    for (const RecentChangeSet& it : head.recent_change_sets) {
      const auto [known, inserted] = numbers.emplace(it.id, it.number);
      if (known->second == it.number) continue;
      findings->Add(it.id, "took effect at " + std::to_string(known->second) + " and at " +
                               std::to_string(it.number));
    }
  }
}

/// All checks above.
inline void CheckTrace(const ConfigTrace& trace, Findings* findings) {
  CheckVersionsNeverLower(trace, findings);
  CheckNothingPartial(trace, findings);
  CheckAcceptedNeverReverted(trace, findings);
  CheckAcceptedOnce(trace, findings);
  for (const ConfigTrace::InForce& it : trace.in_force()) {
    CheckRoutesResolve(*it.snapshot, findings);
  }
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_CONFIG_PROOFS_H_
