#ifndef CAMPHORHOIST_LIBCONFIG_CONFIG_TRACE_CHECKS_H_
#define CAMPHORHOIST_LIBCONFIG_CONFIG_TRACE_CHECKS_H_

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

/// Trace of configuration events in a test, in the order in which they happened, as input of the
/// checks below. Tests of any layer can use it: an observer is the platform, a replica or a node.
///
/// Thread safety: none; use from one thread.
class ConfigTrace {
 public:
  /// An observer put this configuration in force.
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
  /// Adds a head that was stored in the platform.
  void AddHead(ConfigHead head) { heads_.push_back(std::move(head)); }

  const std::vector<InForce>& in_force() const { return in_force_; }
  const std::vector<Accepted>& accepted() const { return accepted_; }
  const std::vector<ConfigHead>& heads() const { return heads_; }

 private:
  std::vector<InForce> in_force_;
  std::vector<Accepted> accepted_;
  std::vector<ConfigHead> heads_;
};

/// Checks guarantee P1: the version of an observer never decreases.
inline void CheckVersionsNeverDecrease(const ConfigTrace& trace, Findings* findings) {
  std::map<std::string, ConfigVersion> last_versions;
  for (const ConfigTrace::InForce& it : trace.in_force()) {
    ConfigVersion& version = last_versions[it.observer];
    if (it.snapshot->version() < version) {
      findings->Add(it.observer, "moved from version " + version.ToString() + " to " +
                                     it.snapshot->version().ToString());
    }
    version = it.snapshot->version();
  }
}

/// Checks guarantee P3: all observers of a version have the same complete configuration, which is
/// the one that the head refers to.
inline void CheckSnapshotsComplete(const ConfigTrace& trace, Findings* findings) {
  std::map<ConfigVersion, std::string> hashes;
  for (const ConfigTrace::InForce& it : trace.in_force()) {
    const auto [entry, inserted] = hashes.emplace(it.snapshot->version(), it.snapshot->hash());
    if (entry->second != it.snapshot->hash()) {
      findings->Add(it.observer, "has a different configuration of version " +
                                     it.snapshot->version().ToString());
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

/// Checks guarantee P2: each route refers to services and endpoints of its own snapshot.
inline void CheckRoutesResolve(const Snapshot& snapshot, Findings* findings) {
  for (const Route& route : snapshot.routes()) {
    for (const Destination& it : route.destinations()) {
      const std::string place = "route " + route.name();
      if (snapshot.FindService(it.service) == nullptr) {
        findings->Add(place, "refers to service " + it.service + ", which does not exist");
      }
      if (it.endpoint.empty()) continue;
      const EndpointSettings* endpoint = snapshot.FindEndpoint(it.endpoint);
      if (endpoint == nullptr || endpoint->service != it.service) {
        findings->Add(place, "refers to endpoint " + it.endpoint + ", which does not belong to " +
                                 it.service);
      }
    }
  }
}

/// Checks guarantee P9: an accepted change is in force as of its version, until a later change of
/// the same record.
class AcceptedChangesChecker {
 public:
  explicit AcceptedChangesChecker(const ConfigTrace& trace) : trace_(trace) {}

  void Run(Findings* findings) const {
    for (const ConfigTrace::Accepted& accepted : trace_.accepted()) {
      for (const ConfigTrace::InForce& it : trace_.in_force()) {
        if (it.snapshot->version() < accepted.version) continue;
        for (const Change& change : accepted.change_set.changes) {
          if (IsInForceOrSuperseded(change, accepted.version, *it.snapshot)) continue;
          findings->Add(it.observer, "version " + it.snapshot->version().ToString() +
                                         " reverts the change of " + change.key().ToString() +
                                         " by " + accepted.change_set.id + ", accepted at " +
                                         accepted.version.ToString());
        }
      }
    }
  }

 private:
  /// Whether `change`, accepted at `version`, is in force in `snapshot` or was superseded by a
  /// later change of the same record.
  bool IsInForceOrSuperseded(const Change& change, const ConfigVersion& version,
                             const Snapshot& snapshot) const {
    const StoredRecord* stored = snapshot.Find(change.key());
    if (stored != nullptr && stored->version > version.number()) return true;
    const bool in_force = stored != nullptr && change.record() &&
                          stored->record == *change.record() && stored->version == version.number();
    if (in_force) return true;
    if (stored != nullptr) return false;
    return !change.record() || IsRemovedLater(change.key(), version, snapshot.version());
  }

  bool IsRemovedLater(const RecordKey& key, const ConfigVersion& after,
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

inline void CheckAcceptedChangesNeverReverted(const ConfigTrace& trace, Findings* findings) {
  AcceptedChangesChecker(trace).Run(findings);
}

/// Checks that a change set takes effect at most once: the heads never list its id with two
/// different numbers.
inline void CheckChangeSetsAppliedOnce(const ConfigTrace& trace, Findings* findings) {
  std::map<std::string, uint64_t> numbers;
  for (const ConfigHead& head : trace.heads()) {
    for (const RecentChangeSet& it : head.recent_change_sets) {
      const auto [entry, inserted] = numbers.emplace(it.id, it.number);
      if (entry->second == it.number) continue;
      findings->Add(it.id, "took effect at " + std::to_string(entry->second) + " and at " +
                               std::to_string(it.number));
    }
  }
}

/// Runs all checks above.
inline void CheckTrace(const ConfigTrace& trace, Findings* findings) {
  CheckVersionsNeverDecrease(trace, findings);
  CheckSnapshotsComplete(trace, findings);
  CheckAcceptedChangesNeverReverted(trace, findings);
  CheckChangeSetsAppliedOnce(trace, findings);
  for (const ConfigTrace::InForce& it : trace.in_force()) {
    CheckRoutesResolve(*it.snapshot, findings);
  }
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_CONFIG_TRACE_CHECKS_H_
